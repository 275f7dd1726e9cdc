#pragma once

// A TCP proxy on loopback between one daemon and the store. It delays, resets,
// silences or cuts connections one way, by a mode that the soak sets.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace catkinkeel::soak
{

enum class link_mode : std::uint8_t
{
    normal,
    /// Bytes arrive later by `proxy_delay`.
    delayed,
    /// Connections are reset, and new ones as soon as they are made.
    reset,
    /// Bytes of both ways vanish. A connection that lost bytes stays silent
    /// when the mode ends.
    silent,
    /// Requests arrive, answers vanish.
    answers_cut
};

inline constexpr duration proxy_delay = 400ms;

class proxy_session;

class fault_proxy
{
public:
    /// Throws `boost::system::system_error` if the address is taken.
    fault_proxy(boost::asio::io_context& context, const endpoint& listen,
                const endpoint& server);
    ~fault_proxy();

    void set_mode(link_mode mode);
    [[nodiscard]] link_mode mode() const
    {
        return mode_;
    }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint server_;
    link_mode mode_ = link_mode::normal;
    std::vector<std::weak_ptr<proxy_session>> sessions_;
};

} // namespace catkinkeel::soak
