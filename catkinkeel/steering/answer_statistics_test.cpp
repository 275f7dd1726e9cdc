#include "catkinkeel/steering/answer_statistics.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// Answers of one reference, one each 50 ms.
class answer_stream
{
public:
    answer_verdict add(std::uint32_t bytes, bool suspected = false)
    {
        const answer_verdict verdict = statistics.judge(source, bytes);
        statistics.record(source, bytes, verdict, suspected, now);
        now += 50ms;
        return verdict;
    }

    void add_bookings(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i)
        {
            add(831 + i % 22);
        }
    }

    answer_statistics statistics;
    answer_source source{address(1, 443), {}};
    instant now = at(1s);
};

} // namespace

TEST_CASE("nothing is judged before enough answers are known")
{
    // Guards against judging by a handful of answers after a restart.
    answer_stream stream;
    stream.add_bookings(49);
    CHECK(stream.add(208) == answer_verdict::unjudged);
    CHECK(stream.add(208) == answer_verdict::deficient);
    CHECK(stream.add(831) == answer_verdict::usual);
}

TEST_CASE("a minute of errors does not become usual")
{
    // Guards against learning during an outage that errors are normal, after
    // which the next one would not be noticed.
    const std::uint32_t error_period = GENERATE(1U, 8U);
    answer_stream stream;
    stream.add_bookings(300);
    for (std::uint32_t i = 0; i < 1200; ++i)
    {
        const bool fails = i % error_period == 0;
        REQUIRE(stream.add(fails ? 208 : 840) ==
                (fails ? answer_verdict::deficient : answer_verdict::usual));
    }
}

TEST_CASE("partial acknowledgements do not lower the limit")
{
    // Guards against a few bytes acknowledged first that make every error look
    // large enough.
    answer_stream stream;
    for (std::uint32_t i = 0; i < 5000; ++i)
    {
        stream.add(i % 100 == 30 ? 12 : 840);
    }
    CHECK(stream.add(208) == answer_verdict::deficient);
}

TEST_CASE("a reference with many short answers judges none as deficient")
{
    // Guards against suspecting targets of a service whose answers are cached
    // or of mixed kinds.
    answer_stream stream;
    for (std::uint32_t i = 0; i < 2000; ++i)
    {
        REQUIRE(stream.add(i % 10 == 7 ? 150 : 400 + i % 2000) !=
                answer_verdict::deficient);
    }
}

TEST_CASE("short answers become usual if trusted targets send them for long")
{
    // Guards against suspecting targets for ever after a service has changed.
    // Those of suspected targets must not have this effect.
    const bool suspected = GENERATE(false, true);
    answer_stream stream;
    stream.add_bookings(300);
    for (std::uint32_t i = 0; i < 4000; ++i)
    {
        const bool is_short = i % 10 == 7;
        stream.add(is_short ? 208 : 840, is_short && suspected);
    }
    CHECK((stream.add(208) == answer_verdict::deficient) == suspected);
}

TEST_CASE("the number of references with statistics is bounded")
{
    // Guards against memory that grows with the configuration.
    answer_stream stream;
    for (std::uint32_t i = 0; i < 2 * max_answer_sources; ++i)
    {
        stream.source.reference = address(i, 443);
        stream.add(840);
    }
    CHECK(stream.statistics.size() == max_answer_sources);
}
