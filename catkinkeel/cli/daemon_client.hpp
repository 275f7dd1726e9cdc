#pragma once

// Client of the operators' HTTP endpoint of daemons.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/outcome.hpp"

#include <chrono>
#include <string>

namespace catkinkeel
{

/// Sends requests to daemons. An interface, so that tests can replace HTTP.
class daemon_client
{
public:
    virtual ~daemon_client() = default;

    /// Returns the body of the response to GET `path`. Fails with `unavailable`
    /// if the daemon can't be reached or the response is truncated,
    /// `limit_exceeded` if the body exceeds `max_response_size`, `not_found`
    /// for status 404, and `invalid_input` for any other status except 200.
    [[nodiscard]] virtual outcome<std::string>
    get(const endpoint& daemon, const std::string& path) const = 0;
};

/// HTTP/1.1 client based on CivetWeb. Opens one connection per request.
class civetweb_client : public daemon_client
{
public:
    /// `timeout` limits the wait for the start of a response. It does not limit
    /// connection setup, for which CivetWeb waits up to 10 s.
    explicit civetweb_client(std::chrono::milliseconds timeout);
    ~civetweb_client() override;
    civetweb_client(const civetweb_client&) = delete;
    civetweb_client& operator=(const civetweb_client&) = delete;

    [[nodiscard]] outcome<std::string>
    get(const endpoint& daemon, const std::string& path) const override;

private:
    std::chrono::milliseconds timeout_;
};

} // namespace catkinkeel
