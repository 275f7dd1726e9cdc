#include "standins/caller_simulator.hpp"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <tins/tins.h>
#include <unistd.h>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr duration packet_period = 1s;
/// Timeout before the first retransmission of a SYN (RFC 6298).
constexpr duration opening_timeout = 1s;
/// An established flow without a reply for this long is unresponsive. Covers
/// three packets at `packet_period`.
constexpr duration unresponsive_timeout = 3500ms;
constexpr std::uint32_t first_caller_address = 0x0a000000;
constexpr std::uint16_t caller_port = 40000;
constexpr int receive_buffer_bytes = 4 * 1024 * 1024;

Tins::IPv4Address tins_address(ipv4_address address)
{
    return Tins::IPv4Address(htonl(address.value));
}

sockaddr_in socket_address(const endpoint& source)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(source.port);
    address.sin_addr.s_addr = htonl(source.address.value);
    return address;
}

} // namespace

std::unique_ptr<caller_simulator>
caller_simulator::start(std::vector<endpoint> entry_vms, const endpoint& egress,
                        service_lookup service_of, std::uint64_t seed)
{
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
    const sockaddr_in address = socket_address(egress);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0)
    {
        close(fd);
        return nullptr;
    }
    return std::unique_ptr<caller_simulator>(new caller_simulator(
        fd, std::move(entry_vms), std::move(service_of), seed));
}

caller_simulator::caller_simulator(int socket, std::vector<endpoint> entry_vms,
                                   service_lookup service_of,
                                   std::uint64_t seed)
    : socket_(socket),
      entry_vms_(std::move(entry_vms)),
      service_of_(std::move(service_of)),
      random_(seed)
{
}

caller_simulator::~caller_simulator()
{
    close(socket_);
}

void caller_simulator::open(const endpoint& public_endpoint,
                            std::uint32_t count,
                            std::optional<service_id> expected_service,
                            instant now)
{
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const auto index = static_cast<std::uint32_t>(flows_.size());
        flows_.push_back(
            {.caller = {{first_caller_address + index}, caller_port},
             .public_endpoint = public_endpoint,
             .service = expected_service,
             .open_time = now,
             .next_send_time = now,
             .last_reply_time = now});
        ++counts_.opened;
    }
}

void caller_simulator::poll(instant now)
{
    receive(now);
    for (flow& each : flows_)
    {
        if (each.closed || each.next_send_time > now)
        {
            continue;
        }
        send(each);
        each.next_send_time =
            now + (each.target ? packet_period : opening_timeout);
    }
}

void caller_simulator::send(const flow& caller_flow)
{
    Tins::TCP segment(caller_flow.public_endpoint.port,
                      caller_flow.caller.port);
    segment.flags(caller_flow.target ? Tins::TCP::ACK : Tins::TCP::SYN);
    Tins::IP packet =
        Tins::IP(tins_address(caller_flow.public_endpoint.address),
                 tins_address(caller_flow.caller.address)) /
        segment;
    const auto bytes = packet.serialize();
    const sockaddr_in destination =
        socket_address(entry_vms_[random_.below(entry_vms_.size())]);
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&destination),
           sizeof(destination));
}

void caller_simulator::receive(instant now)
{
    std::array<std::uint8_t, 2048> buffer{};
    for (;;)
    {
        const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
        if (size <= 0)
        {
            return;
        }
        handle_packet(buffer.data(), static_cast<std::uint32_t>(size), now);
    }
}

void caller_simulator::handle_packet(const std::uint8_t* data,
                                     std::uint32_t size, instant now)
{
    try
    {
        const Tins::IP packet(data, size);
        const auto* tcp = packet.find_pdu<Tins::TCP>();
        const std::uint32_t index =
            ntohl(std::uint32_t(packet.dst_addr())) - first_caller_address;
        if (tcp == nullptr || index >= flows_.size())
        {
            return;
        }
        flow& caller_flow = flows_[index];
        if (tcp->get_flag(Tins::TCP::RST) != 0)
        {
            counts_.refused += caller_flow.closed ? 0U : 1U;
            caller_flow.closed = true;
            return;
        }
        const auto* payload_pdu = packet.find_pdu<Tins::RawPDU>();
        if (payload_pdu != nullptr && payload_pdu->payload().size() == 4)
        {
            const auto& bytes = payload_pdu->payload();
            const std::uint32_t id = (std::uint32_t{bytes[0]} << 24U) |
                                     (std::uint32_t{bytes[1]} << 16U) |
                                     (std::uint32_t{bytes[2]} << 8U) | bytes[3];
            handle_reply(caller_flow, {id}, now);
        }
    }
    catch (const Tins::exception_base&)
    {
        // Malformed packets are not replies.
    }
}

void caller_simulator::handle_reply(flow& caller_flow, target_id target,
                                    instant now)
{
    const service_id service = service_of_(target);
    caller_flow.last_reply_time = now;
    if (!caller_flow.target)
    {
        caller_flow.target = target;
        caller_flow.service = caller_flow.service.value_or(service);
        caller_flow.next_send_time = now + packet_period;
        ++counts_.answered;
        counts_.answered_within_1s +=
            now - caller_flow.open_time <= opening_timeout ? 1U : 0U;
    }
    counts_.misdirected += service == caller_flow.service ? 0U : 1U;
    if (target != caller_flow.target && !caller_flow.broken)
    {
        caller_flow.broken = true;
        ++counts_.broken;
    }
}

caller_counts caller_simulator::counts(instant now) const
{
    caller_counts result = counts_;
    for (const flow& each : flows_)
    {
        const bool is_unresponsive =
            each.target && !each.closed &&
            now - each.last_reply_time > unresponsive_timeout;
        result.unresponsive += is_unresponsive ? 1U : 0U;
    }
    return result;
}

std::map<target_id, std::uint32_t> caller_simulator::flows_by_target() const
{
    std::map<target_id, std::uint32_t> counts;
    for (const flow& each : flows_)
    {
        if (each.target)
        {
            ++counts[*each.target];
        }
    }
    return counts;
}

} // namespace catkinkeel
