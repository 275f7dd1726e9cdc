#include "standins/caller_site.hpp"

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
/// First retransmission of a SYN (RFC 6298).
constexpr duration opening_timeout = 1s;
/// An established flow without an answer for this long is silent.
constexpr duration silence = 3500ms;
constexpr std::uint32_t first_caller = 0x0a000000;
constexpr std::uint16_t caller_port = 40000;
constexpr int receive_buffer = 4 * 1024 * 1024;

Tins::IPv4Address tins_address(ipv4_address address)
{
    return Tins::IPv4Address(htonl(address.value));
}

sockaddr_in socket_address(const endpoint& where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    address.sin_addr.s_addr = htonl(where.address.value);
    return address;
}

} // namespace

std::unique_ptr<caller_site> caller_site::start(std::vector<endpoint> entry_vms,
                                                const endpoint& egress,
                                                service_lookup service_of,
                                                std::uint64_t seed)
{
    const int fd =
        socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
    const sockaddr_in address = socket_address(egress);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0)
    {
        close(fd);
        return nullptr;
    }
    return std::unique_ptr<caller_site>(
        new caller_site(fd, std::move(entry_vms), std::move(service_of), seed));
}

caller_site::caller_site(int socket, std::vector<endpoint> entry_vms,
                         service_lookup service_of, std::uint64_t seed)
    : socket_(socket),
      entry_vms_(std::move(entry_vms)),
      service_of_(std::move(service_of)),
      random_(seed)
{
}

caller_site::~caller_site()
{
    close(socket_);
}

void caller_site::open(const endpoint& public_endpoint, std::uint32_t count,
                       std::optional<service_id> meant, instant now)
{
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const auto number = static_cast<std::uint32_t>(flows_.size());
        flows_.push_back({.caller = {{first_caller + number}, caller_port},
                          .public_endpoint = public_endpoint,
                          .service = meant,
                          .opened_at = now,
                          .due_at = now,
                          .answered_at = now});
        ++counts_.opened;
    }
}

void caller_site::turn(instant now)
{
    receive(now);
    for (flow& each : flows_)
    {
        if (each.over || each.due_at > now)
        {
            continue;
        }
        send(each);
        each.due_at = now + (each.target ? packet_period : opening_timeout);
    }
}

void caller_site::send(const flow& of)
{
    Tins::TCP segment(of.public_endpoint.port, of.caller.port);
    segment.flags(of.target ? Tins::TCP::ACK : Tins::TCP::SYN);
    Tins::IP packet = Tins::IP(tins_address(of.public_endpoint.address),
                               tins_address(of.caller.address)) /
                      segment;
    const auto bytes = packet.serialize();
    const sockaddr_in to =
        socket_address(entry_vms_[random_.below(entry_vms_.size())]);
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void caller_site::receive(instant now)
{
    std::array<std::uint8_t, 2048> buffer{};
    for (;;)
    {
        const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
        if (size <= 0)
        {
            return;
        }
        take(buffer.data(), static_cast<std::uint32_t>(size), now);
    }
}

void caller_site::take(const std::uint8_t* data, std::uint32_t size,
                       instant now)
{
    try
    {
        const Tins::IP packet(data, size);
        const auto* tcp = packet.find_pdu<Tins::TCP>();
        const std::uint32_t number =
            ntohl(std::uint32_t(packet.dst_addr())) - first_caller;
        if (tcp == nullptr || number >= flows_.size())
        {
            return;
        }
        flow& of = flows_[number];
        if (tcp->get_flag(Tins::TCP::RST) != 0)
        {
            counts_.refused += of.over ? 0U : 1U;
            of.over = true;
            return;
        }
        const auto* named = packet.find_pdu<Tins::RawPDU>();
        if (named != nullptr && named->payload().size() == 4)
        {
            const auto& bytes = named->payload();
            const std::uint32_t id = (std::uint32_t{bytes[0]} << 24U) |
                                     (std::uint32_t{bytes[1]} << 16U) |
                                     (std::uint32_t{bytes[2]} << 8U) | bytes[3];
            take_answer(of, {id}, now);
        }
    }
    catch (const Tins::exception_base&)
    {
        // Not an answer.
    }
}

void caller_site::take_answer(flow& of, target_id target, instant now)
{
    const service_id service = service_of_(target);
    of.answered_at = now;
    if (!of.target)
    {
        of.target = target;
        of.service = of.service.value_or(service);
        of.due_at = now + packet_period;
        ++counts_.answered;
        counts_.answered_within_1s +=
            now - of.opened_at <= opening_timeout ? 1U : 0U;
    }
    counts_.misdirected += service == of.service ? 0U : 1U;
    if (target != of.target && !of.broken)
    {
        of.broken = true;
        ++counts_.broken;
    }
}

site_counts caller_site::counts(instant now) const
{
    site_counts all = counts_;
    for (const flow& each : flows_)
    {
        const bool unanswered =
            each.target && !each.over && now - each.answered_at > silence;
        all.silent += unanswered ? 1U : 0U;
    }
    return all;
}

std::map<target_id, std::uint32_t> caller_site::flows_by_target() const
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
