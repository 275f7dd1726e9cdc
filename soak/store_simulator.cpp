#include "soak/store_simulator.hpp"

#include "soak/asio_endpoint.hpp"
#include "standins/base64.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <chrono>
#include <istream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

constexpr std::size_t max_items_per_page = 500;
constexpr std::size_t max_request_bytes = 8192;

/// Returns an empty string if the parameter is missing.
std::string query_parameter(std::string_view path, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    std::size_t position = path.find("?" + key);
    position =
        position == std::string_view::npos ? path.find("&" + key) : position;
    if (position == std::string_view::npos)
    {
        return "";
    }
    const std::string_view rest = path.substr(position + 1 + key.size());
    return std::string(rest.substr(0, rest.find('&')));
}

/// Returns 0 if the parameter is missing or not a number.
std::uint64_t numeric_query_parameter(std::string_view path,
                                      std::string_view name)
{
    const std::string digits = query_parameter(path, name);
    std::uint64_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

/// Handles the one request of a connection.
class store_session : public std::enable_shared_from_this<store_session>
{
public:
    store_session(tcp::socket socket, store_simulator& store)
        : socket_(std::move(socket)),
          timer_(socket_.get_executor()),
          store_(store),
          request_(max_request_bytes)
    {
    }

    void start()
    {
        asio::async_read_until(
            socket_, request_, "\r\n\r\n",
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (!error)
                {
                    self->handle_request();
                }
            });
    }

private:
    void handle_request()
    {
        std::istream stream(&request_);
        std::string method;
        std::string path;
        stream >> method >> path;
        if (path.starts_with("/-/kv-range"))
        {
            send_response(store_.read_range(query_parameter(path, "after")));
            return;
        }
        if (!path.starts_with("/-/kv-watch"))
        {
            send_response({404, "{}"});
            return;
        }
        after_revision_ = numeric_query_parameter(path, "after");
        timer_.expires_after(std::chrono::milliseconds(
            numeric_query_parameter(path, "wait_ms")));
        // Responds when the timer expires or, after a change, is cancelled by
        // `wait_for_change`. The response is the same in both cases: what
        // `read_changes` returns now. So the error code is ignored.
        timer_.async_wait(
            [self = shared_from_this()](error_code) {
                self->send_response(
                    self->store_.read_changes(self->after_revision_));
            });
        wait_for_change();
    }

    /// Cancels the timer as soon as the store can answer the watch; the handler
    /// of the timer then sends the response.
    void wait_for_change()
    {
        if (store_.has_changes(after_revision_))
        {
            timer_.cancel();
            return;
        }
        store_.call_on_next_change(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->wait_for_change();
                }
            });
    }

    void send_response(const store_simulator::response& reply)
    {
        response_text_ =
            "HTTP/1.1 " + std::to_string(reply.status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(reply.body.size()) +
            "\r\nConnection: close\r\n\r\n" + reply.body;
        asio::async_write(socket_, asio::buffer(response_text_),
                          [self = shared_from_this()](error_code, std::size_t)
                          {
                              error_code ignored;
                              self->socket_.shutdown(tcp::socket::shutdown_both,
                                                     ignored);
                          });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    store_simulator& store_;
    asio::streambuf request_;
    std::uint64_t after_revision_ = 0;
    std::string response_text_;
};

json to_json(const std::string& key, const std::string& value,
             std::uint64_t revision)
{
    return {{"key", key},
            {"value", encode_base64(value)},
            {"revision", revision},
            {"created", revision},
            {"lease", 0}};
}

} // namespace

store_simulator::store_simulator(asio::io_context& context,
                                 const endpoint& address)
    : context_(context), acceptor_(context, to_asio_endpoint<tcp>(address))
{
    accept();
}

void store_simulator::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (!error)
            {
                std::make_shared<store_session>(std::move(socket), *this)
                    ->start();
            }
            accept();
        });
}

void store_simulator::put(const std::string& key, const std::string& value)
{
    items_[key].value = value;
    record_change(key);
}

void store_simulator::remove(const std::string& key)
{
    if (items_.erase(key) > 0)
    {
        record_change(key);
    }
}

void store_simulator::record_change(const std::string& key)
{
    ++revision_;
    history_[revision_] = key;
    if (const auto found = items_.find(key); found != items_.end())
    {
        found->second.revision = revision_;
    }
    for (const auto& callback : std::exchange(change_callbacks_, {}))
    {
        callback();
    }
}

void store_simulator::lose_history()
{
    history_.clear();
    oldest_watchable_revision_ = revision_;
}

store_simulator::response
store_simulator::read_range(const std::string& after_key) const
{
    json page{{"items", json::array()}, {"as_of", revision_}};
    auto item = items_.upper_bound(after_key);
    for (; item != items_.end() && page["items"].size() < max_items_per_page;
         ++item)
    {
        page["items"].push_back(
            to_json(item->first, item->second.value, item->second.revision));
    }
    page["has_more"] = item != items_.end();
    return {200, page.dump()};
}

store_simulator::response
store_simulator::read_changes(std::uint64_t after_revision) const
{
    if (after_revision < oldest_watchable_revision_)
    {
        return {410, "{}"};
    }
    json page{{"events", json::array()}, {"as_of", revision_}};
    for (auto change = history_.upper_bound(after_revision);
         change != history_.end(); ++change)
    {
        const auto found = items_.find(change->second);
        if (found == items_.end())
        {
            page["events"].push_back({{"key", change->second},
                                      {"revision", change->first},
                                      {"removed", true}});
        }
        else
        {
            page["events"].push_back(to_json(found->first, found->second.value,
                                             found->second.revision));
        }
    }
    return {200, page.dump()};
}

} // namespace catkinkeel::soak
