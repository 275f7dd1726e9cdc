// Daemons that learn from each other while the store is away.

#include "catkinkeel/edge/snapshot_json.hpp"
#include "catkinkeel/edge/test_daemon.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::edge;
using namespace catkinkeel::edge::testing;

TEST_CASE("a daemon that starts while the store is away learns from another")
{
    // Guards against a restarted daemon that serves nobody during an outage.
    const running_site first;
    first.source->say(::site(first.socket->local()));
    REQUIRE(eventually([&] { return first.is_ready(); }));
    const running_site second({first.settings.control});
    REQUIRE(eventually([&] { return second.is_ready(); }));
    second.send('o');
    CHECK(first.receive().starts_with("o"));
    CHECK(get(second.settings.metrics, "/metrics")
              .find("catkinkeel_snapshots_taken_total 1") != std::string::npos);
}

namespace
{

/// A store that drops its history after two failed calls.
class compacted_source : public metadata_source
{
public:
    explicit compacted_source(const endpoint& target) : target_(target) {}

    metadata_result read_all(read_consistency /*consistency*/) override
    {
        steering::metadata_update update = site(target_);
        if (compacted)
        {
            update.revision = 30;
            std::get<steering::terms_published>(update.changes[0])
                .terms.version = {4};
        }
        return update;
    }
    metadata_result read_changes(std::uint64_t revision, duration /*wait*/,
                                 read_consistency /*consistency*/) override
    {
        std::this_thread::sleep_for(1ms);
        if (!compacted)
        {
            return steering::metadata_update{.revision = 10};
        }
        if (failures_left_ > 0)
        {
            --failures_left_;
            return source_failure{"connection reset"};
        }
        return revision < 30 ? metadata_result(history_lost{})
                             : steering::metadata_update{.revision = 30};
    }
    [[nodiscard]] std::string name() const override
    {
        return "compacted";
    }
    void stop() override {}

    std::atomic<bool> compacted{false};

private:
    endpoint target_;
    /// A cheap read and the dear one that replaces it.
    int failures_left_ = 2;
};

} // namespace

TEST_CASE("a peer's old snapshot does not replace what the store has dropped")
{
    // Guards against a daemon that takes the same old snapshot again and again
    // after a failed read, and never reads the store's newest terms.
    const running_site other;
    other.source->say(::site(other.socket->local()));
    REQUIRE(eventually([&] { return other.is_ready(); }));
    running_site site({other.settings.control});
    site.daemon.reset();
    const auto source =
        std::make_shared<compacted_source>(site.socket->local());
    site.daemon =
        edge_daemon::start(site.settings, source, site.codec, site.events)
            .value();
    REQUIRE(eventually([&] { return site.is_ready(); }));
    source->compacted = true;
    CHECK(eventually(
        [&]
        {
            return get(site.settings.metrics, "/metrics")
                       .find("catkinkeel_terms_version 4") != std::string::npos;
        }));
}

TEST_CASE("a daemon without terms has no snapshot to give")
{
    const running_site site;
    CHECK(
        get(site.settings.control, snapshot_path).starts_with("HTTP/1.1 503"));
}

TEST_CASE("a snapshot survives encoding; anything else is refused")
{
    steering::metadata_update update = ::site({{5}, 80});
    update.changes.emplace_back(steering::data_centre_switched{"b", false});
    const auto decoded = parse_snapshot(to_json(update));
    REQUIRE(decoded);
    CHECK(decoded.value().revision == update.revision);
    CHECK(decoded.value().complete);
    CHECK(decoded.value().changes.size() == update.changes.size());
    for (const steering::metadata_change& change : update.changes)
    {
        CHECK(std::ranges::find(decoded.value().changes, change) !=
              decoded.value().changes.end());
    }
    for (const char* text :
         {"", "{}", "[]", R"({"format":2})", R"({"format":1,"revision":"x"})"})
    {
        CHECK_FALSE(parse_snapshot(text));
    }
}
