// Tests the HTTP client against a server that sends faulty responses.

#include "catkinkeel/http/http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace catkinkeel;
namespace asio = boost::asio;

namespace
{

/// Responds to one request with fixed bytes. Then it closes the connection, or
/// waits until the client does.
class raw_server
{
public:
    enum class after_response
    {
        close,
        wait_for_client
    };

    raw_server(std::string bytes, after_response action)
        : raw_server(std::vector{std::move(bytes)}, 0s, action)
    {
    }
    /// Sends the response in parts, with a pause after each.
    raw_server(std::vector<std::string> parts, duration pause,
               after_response action)
        : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this, parts = std::move(parts), pause, action]
                  { serve(parts, pause, action); })
    {
    }
    ~raw_server()
    {
        thread_.join();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] endpoint listen_endpoint() const
    {
        return {{0x7f000001}, acceptor_.local_endpoint().port()};
    }

private:
    void serve(const std::vector<std::string>& parts, duration pause,
               after_response action)
    {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n", error);
        for (const std::string& part : parts)
        {
            asio::write(socket, asio::buffer(part), error);
            std::this_thread::sleep_for(pause);
        }
        if (action == after_response::wait_for_client)
        {
            char ignored = 0;
            socket.read_some(asio::buffer(&ignored, 1), error);
        }
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

http_result
get_from(const std::string& bytes,
         raw_server::after_response action = raw_server::after_response::close,
         duration timeout = 10s)
{
    const raw_server server(bytes, action);
    http_client client;
    return client.get({.server = server.listen_endpoint(),
                       .path = "/load",
                       .media_type = "application/json",
                       .timeout = timeout,
                       .max_body_bytes = 100});
}

const std::string valid_response =
    "HTTP/1.1 200 OK\r\n"
    "Content-Type: application/json; charset=utf-8\r\n"
    "Content-Length: 2\r\n\r\n{}";

} // namespace

// Guards against a client that rejects valid responses: with a Content-Length,
// with chunked encoding, with media type parameters or in other case, or empty.
TEST_CASE("a valid response is read with a content length or with chunks")
{
    CHECK(std::get<http_response>(get_from(valid_response)).body == "{}");
    CHECK(std::get<http_response>(
              get_from("HTTP/1.1 200 OK\r\nContent-Type: Application/JSON\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"))
              .body == "{}");
    CHECK(std::get<http_response>(get_from("HTTP/1.1 204 No Content\r\n\r\n"))
              .status == 204);
}

// Guards against a faulty response that is accepted, or reported as a failure
// of another kind: callers and operators distinguish, for example, a server
// that is down from one that sends invalid responses.
TEST_CASE("a faulty response is reported with its failure kind and status")
{
    struct faulty_response
    {
        std::string bytes;
        http_failure_kind expected_kind;
        /// 0 if the fault lies before the end of the header.
        unsigned expected_status;
    };
    const std::string ok =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    const std::vector<faulty_response> cases{
        // The connection ends before the response, in the status line or in the
        // body.
        {"", http_failure_kind::truncated_response, 0},
        {"HTTP/1.1 200 O", http_failure_kind::truncated_response, 0},
        {ok + "Content-Length: 5\r\n\r\n{}",
         http_failure_kind::truncated_response, 200},
        {ok + "Transfer-Encoding: chunked\r\n\r\n9\r\n{}",
         http_failure_kind::truncated_response, 200},
        // The body is longer than the limit of 100 bytes.
        {ok + "Content-Length: 101\r\n\r\n" + std::string(101, ' '),
         http_failure_kind::oversized, 200},
        {ok + "Transfer-Encoding: chunked\r\n\r\nff\r\n" +
             std::string(255, ' ') + "\r\n0\r\n\r\n",
         http_failure_kind::oversized, 200},
        // The length is above 64 bits, negative or missing.
        {ok + "Content-Length: 99999999999999999999\r\n\r\n",
         http_failure_kind::malformed, 0},
        {ok + "Content-Length: -5\r\n\r\n", http_failure_kind::malformed, 0},
        {ok + "\r\n{}", http_failure_kind::malformed, 200},
        // Another protocol.
        {"SSH-2.0-OpenSSH\r\n\r\n", http_failure_kind::malformed, 0},
        {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
         http_failure_kind::bad_status, 500},
        {"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
         "Content-Length: 0\r\n\r\n",
         http_failure_kind::redirected, 302},
        // The media type is another one or missing; the body contains a NUL
        // byte.
        {"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n"
         "Content-Length: 2\r\n\r\n{}",
         http_failure_kind::wrong_content, 200},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
         http_failure_kind::wrong_content, 200},
        {ok + "Content-Length: 2\r\n\r\n{" + std::string(1, '\0'),
         http_failure_kind::wrong_content, 200},
        // The header is longer than 16 KiB.
        {"HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
         http_failure_kind::oversized, 0},
    };
    for (const faulty_response& fault : cases)
    {
        INFO(fault.bytes.substr(0, 120));
        const http_result result = get_from(fault.bytes);
        REQUIRE(std::holds_alternative<http_failure>(result));
        const auto& reported = std::get<http_failure>(result);
        INFO(reported.message);
        CHECK(to_string(reported.kind) == to_string(fault.expected_kind));
        CHECK(reported.status == fault.expected_status);
        CHECK(!reported.message.empty());
    }
}

// Guards against a thread that stays blocked by a server that stops sending:
// before the response, in its header or before the last byte of the body.
TEST_CASE("a response that stalls fails at the timeout")
{
    for (const std::size_t sent_bytes :
         {std::size_t{0}, std::size_t{20}, valid_response.size() - 1})
    {
        const auto result =
            get_from(valid_response.substr(0, sent_bytes),
                     raw_server::after_response::wait_for_client, 50ms);
        REQUIRE(std::holds_alternative<http_failure>(result));
        CHECK(std::get<http_failure>(result).kind ==
              http_failure_kind::timeout);
    }
}

// Guards against a large response on a slow link that is cut off at a timeout
// meant for servers that do not answer, and against a server that blocks the
// thread by sending slowly for ever.
TEST_CASE("a body that arrives in parts is limited per part and in total")
{
    const std::size_t body_begin = valid_response.size() - 2;
    const std::vector<std::string> parts{valid_response.substr(0, body_begin),
                                         "{", "}"};
    const auto get_parts = [&](duration pause, const body_timeouts& body)
    {
        const raw_server server(parts, pause,
                                raw_server::after_response::wait_for_client);
        http_client client;
        return client.get({.server = server.listen_endpoint(),
                           .path = "/load",
                           .media_type = "application/json",
                           .timeout = 1s,
                           .body = body});
    };
    const auto slow = get_parts(600ms, {.idle = 10s, .total = 10s});
    REQUIRE(std::holds_alternative<http_response>(slow));
    CHECK(std::get<http_response>(slow).body == "{}");
    // The body has 2 bytes.
    const auto large = get_parts(
        300ms, {.idle = 10s, .total = 20ms, .min_rate = 1, .max_total = 10s});
    CHECK(std::holds_alternative<http_response>(large));
    for (const body_timeouts& body :
         {body_timeouts{.idle = 20ms, .total = 10s},
          body_timeouts{.idle = 10s, .total = 20ms},
          body_timeouts{.idle = 10s, .total = 20ms, .min_rate = 1'000},
          body_timeouts{
              .idle = 10s, .total = 20ms, .min_rate = 1, .max_total = 30ms}})
    {
        const auto result = get_parts(600ms, body);
        REQUIRE(std::holds_alternative<http_failure>(result));
        CHECK(std::get<http_failure>(result).kind ==
              http_failure_kind::timeout);
    }
}

// Guards against a limit that overflows for the largest length that a server
// can announce, and against a small body that gets the time of a large one.
TEST_CASE("the limit on a transfer follows the announced size")
{
    const body_timeouts timeouts{
        .total = 3s, .min_rate = 1'000, .max_total = 10s};
    CHECK(transfer_limit(timeouts, std::nullopt) == 3s);
    CHECK(transfer_limit(timeouts, 0) == 3s);
    CHECK(transfer_limit(timeouts, 3'000) == 3s);
    CHECK(transfer_limit(timeouts, 4'500) == 4500ms);
    CHECK(transfer_limit(timeouts, 10'001) == 10s);
    CHECK(transfer_limit(timeouts, std::numeric_limits<std::uint64_t>::max()) ==
          10s);
    CHECK(transfer_limit({.total = 3s}, 1'000'000) == 3s);
    CHECK(transfer_limit({.total = 3s, .min_rate = 1, .max_total = 1s}, 100) ==
          3s);
}

// Guards against a refused connection that is reported as a faulty response.
TEST_CASE("a port without a server is unreachable")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    const endpoint server{{0x7f000001}, acceptor.local_endpoint().port()};
    acceptor.close();
    http_client client;
    const auto result =
        client.get({.server = server, .path = "/", .timeout = 10s});
    REQUIRE(std::holds_alternative<http_failure>(result));
    CHECK(std::get<http_failure>(result).kind ==
          http_failure_kind::unreachable);
}

// Guards against a shutdown that waits for the timeout of a request, also if
// `stop` is called just before the request starts.
TEST_CASE("stop ends a waiting request and all later ones")
{
    const raw_server server("", raw_server::after_response::wait_for_client);
    http_client client;
    std::thread stopping_thread([&] { client.stop(); });
    const http_request request{
        .server = server.listen_endpoint(), .path = "/", .timeout = 60s};
    const auto first = client.get(request);
    stopping_thread.join();
    CHECK(std::get<http_failure>(first).kind == http_failure_kind::stopped);
    CHECK(std::get<http_failure>(client.get(request)).kind ==
          http_failure_kind::stopped);
    // The stopped request may have ended before it connected. The thread of
    // `server` waits for one connection and is joined at the end of the test,
    // so connect once more.
    http_client unblocker;
    (void)unblocker.get(
        {.server = server.listen_endpoint(), .path = "/", .timeout = 20ms});
}

// Guards against crashes and oversized bodies caused by arbitrary responses.
// Each mutation inserts an arbitrary byte or repeats a section of the text.
TEST_CASE(
    "no mutation of a response crashes the client or exceeds the size limit")
{
    CHECK(rc::check(
        []
        {
            std::string bytes = valid_response;
            for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
            {
                const auto at =
                    *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
                bytes = *rc::gen::arbitrary<bool>()
                            ? bytes.insert(at, 1, *rc::gen::arbitrary<char>())
                            : bytes.substr(0, at) + bytes.substr(at / 2);
            }
            const auto result = get_from(bytes);
            if (const auto* response = std::get_if<http_response>(&result))
            {
                RC_ASSERT(response->body.size() <= 100U);
            }
        }));
}
