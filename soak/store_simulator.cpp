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

constexpr std::size_t items_a_page = 500;
constexpr std::size_t longest_request = 8192;

std::string in_query(std::string_view path, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    std::size_t at = path.find("?" + key);
    at = at == std::string_view::npos ? path.find("&" + key) : at;
    if (at == std::string_view::npos)
    {
        return "";
    }
    const std::string_view rest = path.substr(at + 1 + key.size());
    return std::string(rest.substr(0, rest.find('&')));
}

std::uint64_t number_in_query(std::string_view path, std::string_view name)
{
    const std::string digits = in_query(path, name);
    std::uint64_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

/// One request and its answer.
class store_session : public std::enable_shared_from_this<store_session>
{
public:
    store_session(tcp::socket socket, store_simulator& store)
        : socket_(std::move(socket)),
          timer_(socket_.get_executor()),
          store_(store),
          request_(longest_request)
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
                    self->serve();
                }
            });
    }

private:
    void serve()
    {
        std::istream stream(&request_);
        std::string method;
        std::string path;
        stream >> method >> path;
        if (path.starts_with("/-/kv-range"))
        {
            answer(store_.range(in_query(path, "after")));
            return;
        }
        if (!path.starts_with("/-/kv-watch"))
        {
            answer({404, "{}"});
            return;
        }
        after_ = number_in_query(path, "after");
        timer_.expires_after(
            std::chrono::milliseconds(number_in_query(path, "wait_ms")));
        timer_.async_wait(
            [self = shared_from_this()](error_code)
            { self->answer(self->store_.changes(self->after_)); });
        wait();
    }

    void wait()
    {
        if (store_.has_changes(after_))
        {
            timer_.cancel();
            return;
        }
        store_.notify(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->wait();
                }
            });
    }

    void answer(const store_simulator::answer& content)
    {
        text_ = "HTTP/1.1 " + std::to_string(content.status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(content.body.size()) +
                "\r\nConnection: close\r\n\r\n" + content.body;
        asio::async_write(socket_, asio::buffer(text_),
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
    std::uint64_t after_ = 0;
    std::string text_;
};

json described(const std::string& key, const std::string& value,
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
    : context_(context), acceptor_(context, to_asio<tcp>(address))
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
    changed(key);
}

void store_simulator::remove(const std::string& key)
{
    if (items_.erase(key) > 0)
    {
        changed(key);
    }
}

void store_simulator::changed(const std::string& key)
{
    ++revision_;
    history_[revision_] = key;
    if (const auto found = items_.find(key); found != items_.end())
    {
        found->second.revision = revision_;
    }
    for (const auto& ready : std::exchange(waiting_, {}))
    {
        ready();
    }
}

void store_simulator::lose_history()
{
    history_.clear();
    oldest_ = revision_;
}

store_simulator::answer store_simulator::range(const std::string& after) const
{
    json page{{"items", json::array()}, {"as_of", revision_}};
    auto at = items_.upper_bound(after);
    for (; at != items_.end() && page["items"].size() < items_a_page; ++at)
    {
        page["items"].push_back(
            described(at->first, at->second.value, at->second.revision));
    }
    page["has_more"] = at != items_.end();
    return {200, page.dump()};
}

store_simulator::answer store_simulator::changes(std::uint64_t after) const
{
    if (after < oldest_)
    {
        return {410, "{}"};
    }
    json page{{"events", json::array()}, {"as_of", revision_}};
    for (auto at = history_.upper_bound(after); at != history_.end(); ++at)
    {
        const auto found = items_.find(at->second);
        if (found == items_.end())
        {
            page["events"].push_back({{"key", at->second},
                                      {"revision", at->first},
                                      {"removed", true}});
        }
        else
        {
            page["events"].push_back(described(
                found->first, found->second.value, found->second.revision));
        }
    }
    return {200, page.dump()};
}

} // namespace catkinkeel::soak
