#pragma once

// Reasons for the rejection of a received datagram, with a counter for each.

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace catkinkeel
{

enum class reject_reason : std::uint8_t
{
    /// The data ends before a header or a length field requires.
    truncated,
    /// Another IP version, or another protocol inside a GUE header.
    not_ipv4,
    /// IPv4 header length or TCP data offset out of range.
    bad_header_length,
    /// IPv4 total length or UDP length inconsistent with the headers.
    bad_length,
    /// Wrong IPv4 header checksum or ICMP checksum.
    bad_checksum,
    /// Source address that is not a unicast address.
    bad_source,
    /// A fragment, or an ICMP error that quotes a non-initial fragment.
    fragment,
    /// Neither TCP, UDP nor ICMP, or an ICMP error that quotes such a packet.
    unsupported_protocol,
    /// ICMP message other than destination unreachable, time exceeded and
    /// parameter problem.
    unsupported_icmp,
    /// SYN together with FIN or RST.
    bad_tcp_flags,
    /// ICMP error whose quote is not a valid IPv4 header, or whose quoted
    /// packet was not sent from the destination address of the error.
    bad_quote,
    /// Unsupported GUE variant, control flag, flags or private data.
    bad_gue
};

struct reject_reason_row
{
    reject_reason reason;
    std::string_view name;
};

/// All reasons with their names in metrics and logs, in enumerator order.
inline constexpr std::array reject_reason_rows{
    reject_reason_row{reject_reason::truncated, "truncated"},
    reject_reason_row{reject_reason::not_ipv4, "not_ipv4"},
    reject_reason_row{reject_reason::bad_header_length, "bad_header_length"},
    reject_reason_row{reject_reason::bad_length, "bad_length"},
    reject_reason_row{reject_reason::bad_checksum, "bad_checksum"},
    reject_reason_row{reject_reason::bad_source, "bad_source"},
    reject_reason_row{reject_reason::fragment, "fragment"},
    reject_reason_row{reject_reason::unsupported_protocol,
                      "unsupported_protocol"},
    reject_reason_row{reject_reason::unsupported_icmp, "unsupported_icmp"},
    reject_reason_row{reject_reason::bad_tcp_flags, "bad_tcp_flags"},
    reject_reason_row{reject_reason::bad_quote, "bad_quote"},
    reject_reason_row{reject_reason::bad_gue, "bad_gue"},
};

std::string_view to_string(reject_reason reason);

/// Counts rejected datagrams by reason. Thread-safe.
class reject_counters
{
public:
    void add(reject_reason reason)
    {
        counts_[static_cast<std::size_t>(reason)].fetch_add(
            1, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t count_of(reject_reason reason) const
    {
        return counts_[static_cast<std::size_t>(reason)].load(
            std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, reject_reason_rows.size()> counts_{};
};

} // namespace catkinkeel
