// Prints the sizes of control messages: bytes per replicated flow exception,
// and the sizes of the small messages.
//
// Usage: message_sizes

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/envelope.hpp"

#include <cstdio>
#include <string>

using namespace catkinkeel;

namespace
{

replicate make_replicate(std::size_t exception_count,
                         std::uint32_t target_count,
                         std::uint32_t reference_count)
{
    random_source random(1);
    replicate update{random.next(), 1000, {100000}, {}};
    for (std::size_t i = 0; i < exception_count; ++i)
    {
        update.state.exceptions.push_back(
            {{{{static_cast<std::uint32_t>(random.next())},
               static_cast<std::uint16_t>(random.next())},
              {{0x0a000000U +
                static_cast<std::uint32_t>(random.below(reference_count))},
               443},
              protocol::tcp},
             {static_cast<std::uint32_t>(random.below(target_count))}});
    }
    return update;
}

void print_exceptions(std::uint32_t target_count, std::uint32_t reference_count)
{
    const auto empty =
        encode_message(make_replicate(0, target_count, reference_count)).size();
    for (const std::size_t count : {1U, 10U, 100U, 1000U})
    {
        const auto size =
            encode_message(make_replicate(count, target_count, reference_count))
                .size();
        const auto frame_size = size + envelope_size + header_overhead.value;
        std::printf(
            "%8u %10u %10zu %12.2f %18.2f\n", target_count, reference_count,
            count,
            static_cast<double>(size - empty) / static_cast<double>(count),
            static_cast<double>(frame_size) / static_cast<double>(count));
    }
}

void print_size(const message& content)
{
    const auto size = encode_message(content).size();
    const std::string name(type_name(content));
    const std::size_t frame = size + envelope_size;
    std::printf("%-14s %5zu body %5zu frame %5zu with TCP/IP header\n",
                name.c_str(), size, frame, frame + header_overhead.value);
}

} // namespace

int main()
{
    std::printf("bytes of one exception\n targets references exceptions"
                "    exception  with whole frame\n");
    print_exceptions(36, 4);
    print_exceptions(24000, 4);
    print_exceptions(24000, 6100);
    const std::uint64_t nonce = 0xffffffff;
    print_size(probe{nonce, {100000}, {}});
    print_size(probe_ack{nonce, {100000}, {}});
    print_size(probe{nonce,
                     {100000},
                     {{{2300},
                       {16},
                       {{0x0a000001}, 7400},
                       {{0x0a000001}, 6080},
                       3,
                       liveness::alive}}});
    print_size(probe_request{nonce, {2300}});
    print_size(leave{3});
    print_size(replicate_ack{~std::uint64_t{0}, 1000});
    print_size(claim{~std::uint64_t{0}, 10, {100000}});
    print_size(handover_ack{~std::uint64_t{0}, 10, 1000});
}
