#pragma once

// Requests to the operators' HTTP of a daemon.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/outcome.hpp"

#include <chrono>
#include <string>

namespace catkinkeel
{

class daemon_client
{
public:
    virtual ~daemon_client() = default;

    /// Body of the answer to GET `path`. Fails with `unavailable` if the daemon
    /// can't be reached or the answer is cut off, and with `invalid_input`,
    /// `not_found` or `limit_exceeded` if it refuses or the answer is too long.
    [[nodiscard]] virtual outcome<std::string>
    get(const endpoint& daemon, const std::string& path) const = 0;
};

/// HTTP/1.1 through CivetWeb's client, one connection a request.
class civetweb_client : public daemon_client
{
public:
    /// `timeout` is the longest wait for the start of an answer. CivetWeb waits
    /// up to 10 s for the connection itself.
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
