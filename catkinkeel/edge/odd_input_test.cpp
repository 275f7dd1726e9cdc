// Tests that no answer of the store, no packet and no unexpected exception ends
// the daemon or stops it from following the store.

#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;

namespace
{

/// What a read of changes meets.
enum class change_behaviour : std::uint8_t
{
    empty,
    unusable_answer,
    exception
};

/// A metadata source whose full reads succeed and whose reads of changes fail
/// as the test says. Every full read has a higher version.
class failing_source : public metadata_source
{
public:
    explicit failing_source(const endpoint& target) : target_(target) {}

    metadata_result read_all(read_consistency /*consistency*/) override
    {
        steering::metadata_update update = make_site_update(target_);
        const std::uint64_t version = ++full_reads;
        update.revision = 10 + version;
        std::get<steering::configuration_published>(update.changes[0])
            .configuration.version = {version};
        return update;
    }
    metadata_result read_changes(std::uint64_t revision, duration /*wait*/,
                                 read_consistency /*consistency*/) override
    {
        std::this_thread::sleep_for(1ms);
        if (behaviour == change_behaviour::exception)
        {
            throw std::length_error("too long");
        }
        if (behaviour == change_behaviour::unusable_answer)
        {
            return source_failure{"oversized", true};
        }
        return steering::metadata_update{.revision = revision};
    }
    [[nodiscard]] std::string name() const override
    {
        return "failing";
    }
    void stop() override {}

    std::atomic<std::uint64_t> full_reads{0};
    std::atomic<change_behaviour> behaviour{change_behaviour::empty};

private:
    endpoint target_;
};

} // namespace

TEST_CASE("a daemon follows the store although changes cannot be read")
{
    // Guards against a daemon that repeats an unusable read for ever, for
    // example because another writer's entries exceed the limit of one answer,
    // and so misses every later change; and against a thread that an exception
    // ends.
    for (const change_behaviour behaviour :
         {change_behaviour::unusable_answer, change_behaviour::exception})
    {
        daemon_fixture site;
        site.daemon.reset();
        const auto source =
            std::make_shared<failing_source>(site.socket->local());
        site.start(source);
        REQUIRE(eventually([&] { return site.is_ready(); }));
        const std::uint64_t before = source->full_reads;
        source->behaviour = behaviour;
        CHECK(eventually([&] { return source->full_reads > before + 2; }));
        source->behaviour = change_behaviour::empty;
        CHECK(eventually(
            [&]
            {
                return has_metric(site, "catkinkeel_terms_version " +
                                            std::to_string(source->full_reads) +
                                            "\n");
            }));
        CHECK(has_metric(site, "catkinkeel_duty_failures_total 0\n") ==
              (behaviour == change_behaviour::unusable_answer));
    }
}

TEST_CASE("a store out of reach gets few of the costly reads")
{
    // Guards against hundreds of daemons that repeat reads of the newest state,
    // which cost ten times as much, at a store that cannot answer.
    class unreachable_source : public metadata_source
    {
    public:
        metadata_result read_all(read_consistency consistency) override
        {
            return reachable ? metadata_result(make_site_update({{5}, 80}))
                             : fail(consistency);
        }
        metadata_result read_changes(std::uint64_t revision, duration /*wait*/,
                                     read_consistency consistency) override
        {
            return reachable ? metadata_result(steering::metadata_update{
                                   .revision = revision})
                             : fail(consistency);
        }
        [[nodiscard]] std::string name() const override
        {
            return "unreachable";
        }
        void stop() override {}

        std::atomic<bool> reachable{true};
        std::atomic<int> failed_newest{0};
        std::atomic<int> failed_replica{0};

    private:
        metadata_result fail(read_consistency consistency)
        {
            ++(consistency == read_consistency::newest ? failed_newest
                                                       : failed_replica);
            return source_failure{"503"};
        }
    };
    daemon_fixture site;
    site.daemon.reset();
    const auto source = std::make_shared<unreachable_source>();
    site.start(source);
    REQUIRE(eventually([&] { return site.is_ready(); }));
    source->reachable = false;
    REQUIRE(eventually([&] { return source->failed_replica >= 30; }));
    CHECK(source->failed_newest <= 30 / 3 + 2);
    CHECK(source->failed_newest >= 30 / 3 - 2);
    source->reachable = true;
    CHECK(eventually(
        [&] {
            return has_metric(site, "catkinkeel_store_reads_confirming_total");
        }));
}

TEST_CASE("an exception while a packet is handled does not end the daemon")
{
    // Guards against one malformed packet that takes the process down.
    const daemon_fixture site;
    site.source->enqueue(::make_site_update(site.socket->local()));
    REQUIRE(eventually([&] { return site.is_ready(); }));
    site.send('x');
    REQUIRE(eventually(
        [&]
        { return !has_metric(site, "catkinkeel_duty_failures_total 0\n"); }));
    site.send('o');
    CHECK(site.receive().starts_with("o"));
}
