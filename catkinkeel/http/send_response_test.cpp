// Tests responses that are sent to clients with slow links.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/http/send_response.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <civetweb.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

using namespace catkinkeel;
namespace asio = boost::asio;

namespace
{

/// More than the kernel buffers for a connection whose client reads nothing.
constexpr std::size_t body_bytes = 16UL * 1024 * 1024;

int serve_large_body(mg_connection* connection, void* /*unused*/)
{
    return send_response(connection, 200, "application/json",
                         std::string(body_bytes, ' '));
}

} // namespace

TEST_CASE("a client that reads nothing for a while gets the whole body")
{
    // Guards against a snapshot that is cut off on a slow link. The kernel
    // reports room for more data only after a third of the send buffer of up to
    // 4 MB was sent, which at 5 Mbit/s took longer than CivetWeb's timeout.
    std::array<const char*, 5> options{"listening_ports", "127.0.0.1:0",
                                       "request_timeout_ms", "2000", nullptr};
    const mg_callbacks callbacks{};
    const std::unique_ptr<mg_context, decltype(&mg_stop)> server(
        mg_start(&callbacks, nullptr, options.data()), &mg_stop);
    REQUIRE(server);
    mg_set_request_handler(server.get(), "/", &serve_large_body, nullptr);
    mg_server_port port{};
    REQUIRE(mg_get_server_ports(server.get(), 1, &port) == 1);

    asio::io_context context;
    asio::ip::tcp::socket client(context);
    client.open(asio::ip::tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    client.connect({asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(port.port)});
    asio::write(client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    std::this_thread::sleep_for(3s);
    std::string response;
    boost::system::error_code error;
    asio::read(client, asio::dynamic_buffer(response), error);
    CHECK(error == asio::error::eof);
    CHECK(response.size() > body_bytes);
}
