#pragma once

// A TCP proxy on loopback between one daemon and the store. Depending on its
// mode, it forwards, delays or drops bytes or resets connections.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace catkinkeel::soak
{

enum class proxy_mode : std::uint8_t
{
    /// Forwards bytes without delay.
    normal,
    /// Forwards each chunk of bytes after `proxy_delay`.
    delay_all,
    /// Resets all connections, and new ones as soon as they are accepted.
    reset,
    /// Drops bytes in both directions. A connection that lost bytes in one
    /// direction forwards none in it after the mode has ended.
    drop_all,
    /// Forwards requests and drops responses. Otherwise as `drop_all`.
    drop_responses
};

inline constexpr duration proxy_delay = 400ms;

class proxy_connection;

class fault_proxy
{
public:
    /// Throws `boost::system::system_error` if the address is in use.
    fault_proxy(boost::asio::io_context& context, const endpoint& listen,
                const endpoint& server);
    ~fault_proxy();

    void set_mode(proxy_mode mode);
    [[nodiscard]] proxy_mode mode() const
    {
        return mode_;
    }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint server_;
    proxy_mode mode_ = proxy_mode::normal;
    std::vector<std::weak_ptr<proxy_connection>> connections_;
};

} // namespace catkinkeel::soak
