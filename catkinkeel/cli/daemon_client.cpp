#include "catkinkeel/cli/daemon_client.hpp"

#include "catkinkeel/operators/documents.hpp"

#include <civetweb.h>

#include <array>
#include <cstring>
#include <memory>

namespace catkinkeel
{

namespace
{

struct connection_closer
{
    void operator()(mg_connection* connection) const
    {
        mg_close_connection(connection);
    }
};

using connection_ptr = std::unique_ptr<mg_connection, connection_closer>;

// The failure of a request that got no complete response: the connection
// failed, no response arrived in time, or the body is truncated.
failure unavailable_failure(const endpoint& daemon, const char* reason)
{
    return {failure_kind::unavailable,
            to_string(daemon) + ": request failed: " + reason};
}

// Reads the body to its end. Fails with `unavailable` if it is shorter than
// `expected_length`, which is negative if the response has no Content-Length,
// and with `limit_exceeded` if it is longer than `max_response_size`.
outcome<std::string> read_body(mg_connection* connection,
                               const endpoint& daemon,
                               long long expected_length)
{
    std::string body;
    std::array<char, 16384> buffer{};
    int bytes_read = 0;
    while ((bytes_read = mg_read(connection, buffer.data(), buffer.size())) > 0)
    {
        body.append(buffer.data(), static_cast<std::size_t>(bytes_read));
        if (body.size() > max_response_size.value)
        {
            return failure{failure_kind::limit_exceeded,
                           "response of " + to_string(daemon) + " is too long"};
        }
    }
    if (bytes_read < 0 ||
        (expected_length >= 0 &&
         body.size() < static_cast<std::size_t>(expected_length)))
    {
        return unavailable_failure(daemon, "the response is truncated");
    }
    return body;
}

} // namespace

civetweb_client::civetweb_client(std::chrono::milliseconds timeout)
    : timeout_(timeout)
{
    mg_init_library(0);
}

civetweb_client::~civetweb_client()
{
    mg_exit_library();
}

outcome<std::string> civetweb_client::get(const endpoint& daemon,
                                          const std::string& path) const
{
    std::array<char, 256> error{};
    const connection_ptr connection(
        mg_connect_client(to_string(daemon.address).c_str(), daemon.port, 0,
                          error.data(), error.size()));
    if (!connection)
    {
        return unavailable_failure(daemon, error.data());
    }
    mg_printf(connection.get(),
              "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
              path.c_str(), to_string(daemon).c_str());
    if (mg_get_response(connection.get(), error.data(), error.size(),
                        static_cast<int>(timeout_.count())) < 0)
    {
        return unavailable_failure(daemon, error.data());
    }
    const mg_response_info* info = mg_get_response_info(connection.get());
    outcome<std::string> body =
        read_body(connection.get(), daemon, info->content_length);
    if (!body || info->status_code == 200)
    {
        return body;
    }
    return failure{info->status_code == 404 ? failure_kind::not_found
                                            : failure_kind::invalid_input,
                   to_string(daemon) + " refused the request with status " +
                       std::to_string(info->status_code) + ": " +
                       body.value().substr(0, 200)};
}

} // namespace catkinkeel
