#include "catkinkeel/steering/answer_statistics.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// Answers of one reference, one each 50 ms.
struct answer_stream
{
    answer_verdict add(std::uint32_t bytes, bool suspected = false)
    {
        const answer_verdict verdict = statistics.judge(source, bytes);
        statistics.record(source, bytes, verdict, suspected, now);
        now += 50ms;
        return verdict;
    }

    answer_statistics statistics;
    answer_source source{address(1, 443), {}};
    instant now = at(1s);
};

} // namespace

TEST_CASE("a minute of errors does not become usual")
{
    // Guards against learning during an outage that errors are normal, against
    // partial acknowledgements that lower the limit, and against judging by a
    // handful of answers.
    const std::uint32_t error_period = GENERATE(1U, 8U);
    answer_stream stream;
    for (std::uint32_t i = 0; i < 300; ++i)
    {
        const auto verdict = stream.add(i % 100 == 30 ? 12 : 831 + i % 22);
        CHECK((verdict == answer_verdict::unjudged) == (i < 50));
    }
    for (std::uint32_t i = 0; i < 1200; ++i)
    {
        const bool fails = i % error_period == 0;
        REQUIRE(stream.add(fails ? 208 : 840) ==
                (fails ? answer_verdict::deficient : answer_verdict::usual));
    }
}

TEST_CASE("answers of references with many short answers are not deficient")
{
    // Guards against suspecting targets of a service whose answers are cached
    // or of mixed kinds, or change. Those of suspected targets change nothing.
    const bool suspected = GENERATE(false, true);
    answer_stream mixed;
    answer_stream changed;
    for (std::uint32_t i = 0; i < 4000; ++i)
    {
        const bool is_short = i % 10 == 7;
        REQUIRE(mixed.add(is_short ? 150 : 400 + i % 2000) !=
                answer_verdict::deficient);
        changed.add(i > 300 && is_short ? 208 : 840, is_short && suspected);
    }
    CHECK((changed.add(208) == answer_verdict::deficient) == suspected);
    // Guards against memory that grows with the configuration.
    for (std::uint32_t i = 0; i < 2 * max_answer_sources; ++i)
    {
        mixed.source.reference = address(i, 443);
        mixed.add(840);
    }
    CHECK(mixed.statistics.size() == max_answer_sources);
}
