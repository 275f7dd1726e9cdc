#pragma once

// Sends over a TCP connection at the rate of a slow link.

#include "catkinkeel/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstddef>
#include <string_view>
#include <thread>

namespace catkinkeel::testing
{

/// Sends `text` as fast as a link of `link_mbps` would, until everything is
/// sent or the peer has closed the connection.
inline void send_slowly(boost::asio::ip::tcp::socket& socket,
                        std::string_view text, double link_mbps)
{
    constexpr std::size_t part_bytes = 16UL * 1024;
    const std::chrono::duration<double, std::micro> part_time(part_bytes * 8 /
                                                              link_mbps);
    auto next = std::chrono::steady_clock::now();
    boost::system::error_code error;
    while (!text.empty() && !error)
    {
        const std::string_view part = text.substr(0, part_bytes);
        boost::asio::write(socket, boost::asio::buffer(part), error);
        text.remove_prefix(part.size());
        next += std::chrono::duration_cast<duration>(part_time);
        std::this_thread::sleep_until(next);
    }
}

} // namespace catkinkeel::testing
