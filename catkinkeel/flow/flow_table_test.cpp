#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/flow/flow_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace catkinkeel;

namespace
{

flow_key key_number(std::uint16_t n)
{
    return {{ipv4_address{0x0a000000U + n}, 1000},
            {ipv4_address{0x0b000001}, 443},
            protocol::tcp};
}

} // namespace

TEST_CASE("no flow is lost or found twice under any order of changes")
{
    // Guards against records that an erase makes unreachable, because it breaks
    // the probe sequence of another record.
    const bool holds = rc::check(
        [](const std::vector<std::pair<bool, std::uint8_t>>& changes)
        {
            flow_table table(64);
            std::map<std::uint16_t, std::uint32_t> model;
            for (const auto& [adds, n] : changes)
            {
                const flow_key key = key_number(n);
                const std::uint64_t hash = hash_flow(key);
                if (adds && !model.contains(n))
                {
                    const bool added = table.insert({.key = key, .target = {n}},
                                                    hash) != nullptr;
                    RC_ASSERT(added == (model.size() < 64));
                    if (added)
                    {
                        model[n] = n;
                    }
                }
                else if (!adds)
                {
                    RC_ASSERT(table.erase(key, hash) == (model.erase(n) == 1));
                }
                RC_ASSERT(table.size() == model.size());
                for (const auto& [present, target] : model)
                {
                    const flow_key lookup_key = key_number(present);
                    const flow_record* found =
                        table.find(lookup_key, hash_flow(lookup_key));
                    RC_ASSERT(found != nullptr);
                    RC_ASSERT(found->target.value == target);
                }
            }
        });
    CHECK(holds);
}

TEST_CASE("a full table refuses a flow and keeps those it has")
{
    // Guards against a flood of new flows that overwrites existing records.
    flow_table table(3);
    for (std::uint16_t n = 0; n < 3; ++n)
    {
        REQUIRE(table.insert({.key = key_number(n)},
                             hash_flow(key_number(n))) != nullptr);
    }
    CHECK(table.insert({.key = key_number(3)}, hash_flow(key_number(3))) ==
          nullptr);
    CHECK(table.find(key_number(2), hash_flow(key_number(2))) != nullptr);
}
