#pragma once

// Why a datagram was not read as a packet, and a counter for each reason.

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace catkinkeel
{

enum class reject_reason : std::uint8_t
{
    /// The bytes end before a header or a stated length does.
    truncated,
    /// Another IP version, or a GUE header that carries another protocol.
    not_ipv4,
    /// IPv4 header length or TCP data offset outside its range.
    bad_header_length,
    /// IPv4 total length or UDP length contradicts the headers.
    bad_length,
    /// IPv4 header checksum or ICMP checksum.
    bad_checksum,
    /// Source address that no single host can have.
    bad_source,
    /// Fragment of a packet, or an ICMP error that quotes a later fragment.
    fragment,
    /// Neither TCP, UDP nor ICMP, or an ICMP error that quotes such a packet.
    unsupported_protocol,
    /// ICMP message that is not an error about a packet of a flow.
    unsupported_icmp,
    /// SYN together with FIN or RST.
    bad_tcp_flags,
    /// ICMP error whose quoted packet was not sent by the error's receiver.
    bad_quote,
    /// GUE variant, flags or private data that entry VMs do not use.
    bad_gue
};

struct reject_reason_row
{
    reject_reason reason;
    std::string_view name;
};

/// Every reason with its name in metrics and logs, in order of the enumerators.
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

/// Counts rejected datagrams by reason. Any thread may add and read.
class reject_counters
{
public:
    void add(reject_reason reason)
    {
        counts_[static_cast<std::size_t>(reason)].fetch_add(
            1, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t of(reject_reason reason) const
    {
        return counts_[static_cast<std::size_t>(reason)].load(
            std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, reject_reason_rows.size()> counts_{};
};

} // namespace catkinkeel
