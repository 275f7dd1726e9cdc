#include "catkinkeel/http/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <utility>

namespace catkinkeel
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned max_header_bytes = 16U * 1024;

/// One request and its response. The completion handlers keep it alive.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(asio::io_context& context, http_request request)
        : stream_(context), wanted_(std::move(request))
    {
        request_.method(http::verb::get);
        request_.target(wanted_.path);
        request_.version(11);
        request_.set(http::field::host, to_string(wanted_.server));
        request_.set(http::field::connection, "close");
        parser_.header_limit(max_header_bytes);
        parser_.body_limit(wanted_.max_body_bytes);
    }

    void start()
    {
        // One deadline covers connecting, sending and receiving.
        stream_.expires_after(wanted_.timeout);
        const asio::ip::tcp::endpoint server(
            asio::ip::address_v4(wanted_.server.address.value),
            wanted_.server.port);
        stream_.async_connect(server,
                              [self = shared_from_this()](error_code error)
                              { self->connected(error); });
    }

    /// Empty until the exchange has finished.
    [[nodiscard]] const std::optional<http_result>& result() const
    {
        return result_;
    }

private:
    void connected(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::unreachable);
            return;
        }
        http::async_write(stream_, request_,
                          [self = shared_from_this()](error_code failed,
                                                      std::size_t /*bytes*/)
                          { self->written(failed); });
    }

    void written(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::truncated_response);
            return;
        }
        http::async_read_header(stream_, buffer_, parser_,
                                [self = shared_from_this()](
                                    error_code failed, std::size_t /*bytes*/)
                                { self->header_read(failed); });
    }

    void header_read(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::truncated_response);
            return;
        }
        const unsigned status = parser_.get().result_int();
        const auto reject = [&](http_failure_kind problem, std::string message)
        {
            result_ = http_failure{problem, status, std::move(message)};
        };
        if (status >= 300 && status < 400)
        {
            reject(http_failure_kind::redirected, "redirects are not followed");
        }
        else if (status != 200 && status != 204)
        {
            reject(http_failure_kind::bad_status,
                   "status " + std::to_string(status));
        }
        else if (status == 204)
        {
            result_ = http_response{status, ""};
        }
        else if (!parser_.chunked() && !parser_.content_length())
        {
            reject(http_failure_kind::malformed, "the body has no length");
        }
        else if (!has_media_type())
        {
            reject(http_failure_kind::wrong_content,
                   "the response is not " + wanted_.media_type);
        }
        else
        {
            http::async_read(stream_, buffer_, parser_,
                             [self = shared_from_this()](error_code failed,
                                                         std::size_t /*bytes*/)
                             { self->body_read(failed); });
        }
    }

    void body_read(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::truncated_response);
            return;
        }
        std::string body = std::move(parser_.get().body());
        if (body.find('\0') != std::string::npos)
        {
            result_ = http_failure{http_failure_kind::wrong_content, 200,
                                   "the body is not text"};
            return;
        }
        result_ = http_response{200, std::move(body)};
    }

    [[nodiscard]] bool has_media_type() const
    {
        const beast::string_view field =
            parser_.get()[http::field::content_type];
        const std::string_view value(field.data(), field.size());
        const std::string_view type = value.substr(0, value.find(';'));
        const std::size_t end = type.find_last_not_of(" \t") + 1;
        return beast::iequals({type.data(), end}, wanted_.media_type);
    }

    /// `connection_problem` is reported for errors of the connection itself.
    void fail(error_code error, http_failure_kind connection_problem)
    {
        http_failure_kind problem = connection_problem;
        if (error == beast::error::timeout)
        {
            problem = http_failure_kind::timeout;
        }
        else if (error == http::error::body_limit ||
                 error == http::error::buffer_overflow ||
                 error == http::error::header_limit)
        {
            problem = http_failure_kind::oversized;
        }
        else if (error.category() ==
                     http::make_error_code(http::error::bad_version)
                         .category() &&
                 error != http::error::partial_message &&
                 error != http::error::end_of_stream)
        {
            problem = http_failure_kind::malformed;
        }
        result_ =
            http_failure{problem, parser_.get().result_int(), error.message()};
        if (!parser_.is_header_done())
        {
            std::get<http_failure>(*result_).status = 0;
        }
    }

    beast::tcp_stream stream_;
    http_request wanted_;
    http::request<http::empty_body> request_;
    beast::flat_buffer buffer_{max_header_bytes};
    http::response_parser<http::string_body> parser_;
    std::optional<http_result> result_;
};

} // namespace

struct http_client::state
{
    asio::io_context context{1};
    std::atomic<bool> stopped{false};
};

std::string to_string(http_failure_kind problem)
{
    constexpr std::array names{"unreachable", "timeout",       "redirected",
                               "bad_status",  "malformed",     "short_body",
                               "oversized",   "wrong_content", "stopped"};
    return names.at(static_cast<std::size_t>(problem));
}

http_client::http_client() : state_(std::make_unique<state>()) {}

http_client::~http_client() = default;

http_result http_client::get(const http_request& request)
{
    // `restart` undoes an earlier `stop` of the context, so the flag is checked
    // after it. A later `stop` ends `run`.
    state_->context.restart();
    if (!state_->stopped)
    {
        const auto current =
            std::make_shared<exchange>(state_->context, request);
        current->start();
        state_->context.run();
        if (current->result())
        {
            return *current->result();
        }
    }
    return http_failure{http_failure_kind::stopped, 0,
                        "the client was stopped"};
}

void http_client::stop()
{
    state_->stopped = true;
    state_->context.stop();
}

} // namespace catkinkeel
