#include "catkinkeel/http/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
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
using clock = std::chrono::steady_clock;

/// Maximum size of a response header. A longer one fails as `oversized`.
constexpr unsigned max_header_bytes = 16U * 1024;

/// One request and its response. The completion handlers share ownership, so it
/// lives until the last of them has run.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(asio::io_context& context, http_request request)
        : stream_(context), parameters_(std::move(request))
    {
        http_message_.method(http::verb::get);
        http_message_.target(parameters_.path);
        http_message_.version(11);
        http_message_.set(http::field::host, to_string(parameters_.server));
        http_message_.set(http::field::connection, "close");
        parser_.header_limit(max_header_bytes);
        parser_.body_limit(parameters_.max_body_bytes);
    }

    void start()
    {
        // Unless the body has its own limits, one deadline covers connecting,
        // sending and receiving.
        stream_.expires_after(parameters_.timeout);
        const asio::ip::tcp::endpoint server(
            asio::ip::address_v4(parameters_.server.address.value),
            parameters_.server.port);
        stream_.async_connect(server,
                              [self = shared_from_this()](error_code error)
                              { self->on_connect(error); });
    }

    /// Empty until the exchange has finished.
    [[nodiscard]] const std::optional<http_result>& result() const
    {
        return result_;
    }

private:
    void on_connect(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::unreachable);
            return;
        }
        http::async_write(stream_, http_message_,
                          [self = shared_from_this()](error_code write_error,
                                                      std::size_t /*bytes*/)
                          { self->on_write(write_error); });
    }

    void on_write(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::truncated_response);
            return;
        }
        http::async_read_header(
            stream_, buffer_, parser_,
            [self = shared_from_this()](error_code read_error,
                                        std::size_t /*bytes*/)
            { self->on_read_header(read_error); });
    }

    void on_read_header(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::truncated_response);
            return;
        }
        const unsigned status = parser_.get().result_int();
        const auto reject = [&](http_failure_kind kind, std::string message)
        {
            result_ = http_failure{kind, status, std::move(message)};
        };
        if (status >= 300 && status < 400)
        {
            reject(http_failure_kind::redirected, "redirects are not followed");
        }
        else if (status != 200 && status != 204)
        {
            reject(http_failure_kind::bad_status,
                   "unexpected HTTP status " + std::to_string(status));
        }
        else if (status == 204)
        {
            result_ = http_response{status, ""};
        }
        else if (!parser_.chunked() && !parser_.content_length())
        {
            reject(http_failure_kind::malformed,
                   "the response has neither Content-Length nor chunked "
                   "encoding");
        }
        else if (!has_media_type())
        {
            reject(http_failure_kind::wrong_content,
                   "the media type is not " + parameters_.media_type);
        }
        else
        {
            // Parses as much of the body as each read returns.
            parser_.eager(true);
            if (parameters_.body)
            {
                const auto length = parser_.content_length();
                body_deadline_ = clock::now() +
                                 transfer_limit(*parameters_.body,
                                                length ? std::optional(*length)
                                                       : std::nullopt);
            }
            read_body();
        }
    }

    void read_body()
    {
        if (parser_.is_done())
        {
            finish();
            return;
        }
        if (parameters_.body)
        {
            stream_.expires_at(std::min(body_deadline_,
                                        clock::now() + parameters_.body->idle));
        }
        http::async_read_some(stream_, buffer_, parser_,
                              [self = shared_from_this()](error_code read_error,
                                                          std::size_t /*bytes*/)
                              { self->on_read_body(read_error); });
    }

    void on_read_body(error_code error)
    {
        if (error)
        {
            fail(error, http_failure_kind::truncated_response);
            return;
        }
        read_body();
    }

    void finish()
    {
        std::string body = std::move(parser_.get().body());
        if (body.find('\0') != std::string::npos)
        {
            result_ = http_failure{http_failure_kind::wrong_content, 200,
                                   "the body contains a NUL byte"};
            return;
        }
        result_ = http_response{200, std::move(body)};
    }

    /// Whether the response has the requested media type. Parameters such as
    /// "; charset=utf-8" and the case of letters are ignored.
    [[nodiscard]] bool has_media_type() const
    {
        const beast::string_view field =
            parser_.get()[http::field::content_type];
        const std::string_view value(field.data(), field.size());
        const std::string_view type = value.substr(0, value.find(';'));
        const std::size_t end = type.find_last_not_of(" \t") + 1;
        return beast::iequals({type.data(), end}, parameters_.media_type);
    }

    /// Ends the exchange with a failure. Timeouts, exceeded limits and parser
    /// errors have their own kinds; every other error is an error of the
    /// connection and is reported as `default_kind`.
    void fail(error_code error, http_failure_kind default_kind)
    {
        http_failure_kind kind = default_kind;
        if (error == beast::error::timeout)
        {
            kind = http_failure_kind::timeout;
        }
        else if (error == http::error::body_limit ||
                 error == http::error::buffer_overflow ||
                 error == http::error::header_limit)
        {
            kind = http_failure_kind::oversized;
        }
        // All parser errors have the category of `bad_version`. Two of them
        // mean that the connection ended early.
        else if (error.category() ==
                     http::make_error_code(http::error::bad_version)
                         .category() &&
                 error != http::error::partial_message &&
                 error != http::error::end_of_stream)
        {
            kind = http_failure_kind::malformed;
        }
        result_ =
            http_failure{kind, parser_.get().result_int(), error.message()};
        // Until the header is complete, the status in the parser is not
        // reliable.
        if (!parser_.is_header_done())
        {
            std::get<http_failure>(*result_).status = 0;
        }
    }

    beast::tcp_stream stream_;
    /// The request as given by the caller, with the limits on its response.
    http_request parameters_;
    http::request<http::empty_body> http_message_;
    beast::flat_buffer buffer_{max_header_bytes};
    http::response_parser<http::string_body> parser_;
    /// Used only if the request limits the transfer of the body.
    clock::time_point body_deadline_;
    std::optional<http_result> result_;
};

} // namespace

struct http_client::state
{
    asio::io_context context{1};
    std::atomic<bool> stopped{false};
};

std::string to_string(http_failure_kind kind)
{
    // `truncated_response` is written as "short_body", its established name in
    // texts outside the code.
    constexpr std::array names{"unreachable", "timeout",       "redirected",
                               "bad_status",  "malformed",     "short_body",
                               "oversized",   "wrong_content", "stopped"};
    return names.at(static_cast<std::size_t>(kind));
}

duration transfer_limit(const body_timeouts& timeouts,
                        std::optional<std::uint64_t> content_length)
{
    if (timeouts.min_rate == 0 || !content_length)
    {
        return timeouts.total;
    }
    // Lengths near 2^64 would overflow `duration`.
    const double needed_seconds = static_cast<double>(*content_length) /
                                  static_cast<double>(timeouts.min_rate);
    if (needed_seconds >= in_seconds(timeouts.max_total))
    {
        return std::max(timeouts.total, timeouts.max_total);
    }
    return std::max(timeouts.total,
                    std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(needed_seconds)));
}

http_client::http_client() : state_(std::make_unique<state>()) {}

http_client::~http_client() = default;

http_result http_client::get(const http_request& request)
{
    // `context.restart` cancels the effect of an earlier `context.stop`, so
    // `stopped` must be read after it: either `stopped` is already set here, or
    // the `context.stop` that follows ends `context.run`.
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
