#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/random.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace catkinkeel;

TEST_CASE("printing and parsing an IPv4 address returns the same address")
{
    const bool passed = rc::check(
        [](std::uint32_t value)
        {
            const ipv4_address address{value};
            RC_ASSERT(parse_ipv4_address(to_string(address)) ==
                      outcome<ipv4_address>{address});
        });
    CHECK(passed);
}

TEST_CASE("a malformed endpoint is rejected")
{
    for (const char* text :
         {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536",
          "1.2.3:80", "1.2.3.4.5:80", "256.1.1.1:80", "1.2.3.4:80x",
          " 1.2.3.4:80", "1..3.4:80", "-1.2.3.4:80"})
    {
        INFO(text);
        CHECK_FALSE(parse_endpoint(text));
    }
    CHECK(parse_endpoint("10.0.0.1:443").value() ==
          endpoint{ipv4_address{0x0a000001}, 443});
}

TEST_CASE("the flow hash matches that of earlier releases")
{
    // Daemons of two releases run in one fleet. If they hashed a flow
    // differently, they would put it into different buckets and send its
    // packets to different VMs.
    const flow_key key{{ipv4_address{0x0a000001}, 40000},
                       {ipv4_address{0x0a000002}, 443},
                       protocol::tcp};
    CHECK(hash_flow(key) == 0x4edfb71c36a6e2ebULL);
}
