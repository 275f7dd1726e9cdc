#include "catkinkeel/packet/encapsulation.hpp"

#include "catkinkeel/packet/internal/gue.hpp"
#include "catkinkeel/packet/internal/wire.hpp"

#include <limits>

namespace catkinkeel
{

static_assert(sizeof(internal::gue_relay_header) == relay_header_size);

outgoing_datagram encapsulate_for_target(const endpoint& target,
                                         packet_view packet)
{
    return {.to = target, .packet = packet};
}

outgoing_datagram encapsulate_for_relay(const endpoint& vm,
                                        const parsed_packet& parsed)
{
    constexpr auto max_hops = std::numeric_limits<std::uint8_t>::max();
    const std::uint8_t hops = parsed.facts.hops;
    const internal::gue_relay_header header{
        .hops =
            hops == max_hops ? max_hops : static_cast<std::uint8_t>(hops + 1)};
    outgoing_datagram result{
        .to = vm, .header_size = relay_header_size, .packet = parsed.packet};
    internal::store(result.header, header);
    return result;
}

} // namespace catkinkeel
