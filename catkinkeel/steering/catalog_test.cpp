#include "catkinkeel/steering/catalog.hpp"
#include "catkinkeel/steering/snapshot.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

constexpr catalog_settings settings{.flow_lifetime = 60s,
                                    .withdrawal_grace_period = 2200ms};

metadata_update update(std::uint64_t revision,
                       std::vector<metadata_change> changes,
                       bool complete = false)
{
    return {complete, revision, std::move(changes)};
}

metadata_change announce(const std::string& name, std::uint32_t last_octet,
                         announced_state state = announced_state::ready)
{
    target_announcement target =
        sample_target(name, "orderdesk", "a", last_octet);
    target.state = state;
    return target_announced{target};
}

/// A catalog with `count` targets t0, t1... and one reference on port 443.
catalog make_catalog(std::uint32_t count)
{
    catalog under_test(settings);
    std::vector<metadata_change> changes;
    changes.emplace_back(
        configuration_published{sample_configuration(1, {{443, "orderdesk"}})});
    for (std::uint32_t i = 0; i < count; ++i)
    {
        changes.push_back(announce("t" + std::to_string(i), 10 + i));
    }
    under_test.apply(update(10, changes, true), at(0s));
    return under_test;
}

std::size_t open_count(const catalog& under_test)
{
    const steering_view view = under_test.make_view();
    return static_cast<std::size_t>(std::ranges::count(
        view.parts().targets, target_standing::open, &view_target::standing));
}

target_standing standing(const catalog& under_test, const std::string& name)
{
    const steering_view view = under_test.make_view();
    const auto& targets = view.parts().targets;
    const auto found = std::ranges::find(targets, name, &view_target::name);
    REQUIRE(found != targets.end());
    return found->standing;
}

} // namespace

TEST_CASE("a catalog without a configuration is not usable")
{
    catalog under_test(settings);
    CHECK_FALSE(under_test.has_configuration());
    under_test.apply(update(1, {announce("t", 1)}), at(0s));
    CHECK_FALSE(under_test.has_configuration());
}

namespace
{

metadata_change reject(const std::string& target,
                       const std::string& reason = "the value is not base64")
{
    return entry_rejected{"servers/" + target, reason, target};
}

std::size_t rejection_count(const std::vector<catalog_event>& events)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        events, [](const catalog_event& each)
        { return std::holds_alternative<entry_rejected>(each); }));
}

} // namespace

TEST_CASE("a target whose entry cannot be used any more gets no new flows")
{
    // Guards against another writer's entry under the key of a target: the
    // daemon would go on with an entry that the store no longer holds.
    catalog under_test = make_catalog(4);
    under_test.apply(update(11, {reject("t1")}), at(1s));
    CHECK(standing(under_test, "t1") == target_standing::withdrawn);
    CHECK(open_count(under_test) == 3);
    under_test.apply(update(12, {announce("t1", 11)}), at(2s));
    CHECK(standing(under_test, "t1") == target_standing::open);
    under_test.apply(update(13, {reject("t1")}, true), at(3s));
    CHECK(standing(under_test, "t1") != target_standing::draining);
}

TEST_CASE("odd entries of most targets at once are attributed to the store")
{
    // Guards against a service without targets because another writer damaged
    // all entries at once; live targets write theirs again within seconds.
    catalog under_test = make_catalog(4);
    under_test.apply(update(11, {reject("t0"), reject("t1"), reject("t2")}),
                     at(1s));
    CHECK(open_count(under_test) == 4);
    under_test.expire(at(4s));
    CHECK(open_count(under_test) == 1);
}

TEST_CASE("an odd entry is reported once and again if it changes")
{
    // Guards against a log line for each odd entry with each full read.
    catalog under_test = make_catalog(4);
    CHECK(rejection_count(
              under_test.apply(update(11, {reject("odd")}), at(1s))) == 1);
    CHECK(rejection_count(
              under_test.apply(update(12, {reject("odd")}), at(2s))) == 0);
    CHECK(rejection_count(under_test.apply(
              update(13, {reject("odd", "no address")}), at(3s))) == 1);
    under_test.apply(update(14, {target_withdrawn{"odd"}}), at(4s));
    CHECK(rejection_count(under_test.apply(
              update(15, {reject("odd", "no address")}), at(5s))) == 1);
    under_test.apply(update(16, {announce("odd", 99)}), at(6s));
    CHECK(rejection_count(under_test.apply(
              update(17, {reject("odd", "no address")}), at(7s))) == 1);
    // Removed while the history was lost, and written again.
    under_test.apply(update(17, {announce("t0", 10)}, true), at(7s));
    CHECK(rejection_count(under_test.apply(
              update(17, {reject("odd", "no address")}), at(7s))) == 1);
    const metadata_change configuration =
        entry_rejected{"op/config", "the value is not a JSON object"};
    CHECK(rejection_count(
              under_test.apply(update(18, {configuration}), at(8s))) == 1);
    under_test.apply(update(19, {configuration_published{sample_configuration(
                                    9, {{443, "orderdesk"}})}}),
                     at(9s));
    CHECK(rejection_count(
              under_test.apply(update(20, {configuration}), at(10s))) == 1);
    CHECK(under_test.make_view().parts().version == set_version{9});
}

TEST_CASE("ten thousand odd entries cause few events and hide no target")
{
    // Guards against log volume and memory that grow with the entries of
    // another writer.
    catalog under_test = make_catalog(4);
    std::vector<metadata_change> odd;
    odd.reserve(10'000);
    for (int i = 0; i < 10'000; ++i)
    {
        odd.push_back(reject("odd" + std::to_string(i)));
    }
    for (std::uint64_t revision = 11; revision < 14; ++revision)
    {
        const auto events = under_test.apply(update(revision, odd), at(1s));
        CHECK(rejection_count(events) <= max_reported_rejections);
        const auto omitted = std::ranges::find_if(
            events, [](const catalog_event& each)
            { return std::holds_alternative<rejections_omitted>(each); });
        REQUIRE(omitted != events.end());
        CHECK(std::get<rejections_omitted>(*omitted).entries >=
              10'000 - max_remembered_rejections);
    }
    CHECK(open_count(under_test) == 4);
}

TEST_CASE("targets of too many data centres are rejected")
{
    // Guards against identifiers of data centres that wrap around and make one
    // data centre stand for another.
    catalog under_test = make_catalog(1);
    std::vector<metadata_change> odd;
    for (std::uint32_t i = 0; i < max_known_data_centres + 10; ++i)
    {
        odd.emplace_back(target_announced{
            sample_target("odd" + std::to_string(i), "orderdesk",
                          "zone" + std::to_string(i), i)});
    }
    under_test.apply(update(11, odd), at(1s));
    const steering_view view = under_test.make_view();
    CHECK(view.parts().data_centres.size() == max_known_data_centres);
    CHECK(standing(under_test, "t0") == target_standing::open);
}

TEST_CASE("an older version of the configuration is ignored")
{
    catalog under_test = make_catalog(1);
    under_test.apply(
        update(11, {configuration_published{sample_configuration(7, {})}}),
        at(1s));
    const auto events = under_test.apply(
        update(12, {configuration_published{
                       sample_configuration(3, {{443, "orderdesk"}})}}),
        at(2s));
    CHECK(under_test.make_view().parts().version == set_version{7});
    REQUIRE(events.size() == 1);
    CHECK(std::get<stale_configuration_ignored>(events[0]) ==
          stale_configuration_ignored{{3}, {7}});
}

TEST_CASE("an update older than one applied before changes nothing")
{
    catalog under_test = make_catalog(3);
    under_test.apply(update(9, {target_withdrawn{"t1"}}), at(1s));
    CHECK(open_count(under_test) == 3);
    CHECK(under_test.revision() == 10);
}

TEST_CASE("a draining target gets no new flows and stays in the view")
{
    catalog under_test = make_catalog(2);
    under_test.apply(
        update(11, {announce("t0", 10, announced_state::draining)}), at(1s));
    CHECK(standing(under_test, "t0") == target_standing::draining);
    CHECK(open_count(under_test) == 1);
}

TEST_CASE("a withdrawn target stays in the view for the maximum flow lifetime")
{
    catalog under_test = make_catalog(2);
    under_test.apply(update(11, {target_withdrawn{"t0"}}), at(1s));
    CHECK(standing(under_test, "t0") == target_standing::withdrawn);
    under_test.expire(at(60s));
    CHECK(standing(under_test, "t0") == target_standing::withdrawn);
    REQUIRE(under_test.next_expiry() == at(61s));
    under_test.expire(at(61s));
    CHECK(under_test.make_view().parts().targets.size() == 1);
    CHECK_FALSE(under_test.next_expiry());
}

TEST_CASE("targets withdrawn around an outage of the store are used until the "
          "grace period ends")
{
    // Guards against refusing flows of a service whose announcements expired
    // during an outage of the store.
    catalog under_test = make_catalog(2);
    under_test.note_store_unreachable(at(5s));
    under_test.apply(
        update(20, {target_withdrawn{"t0"}, target_withdrawn{"t1"}}), at(9s));
    CHECK(open_count(under_test) == 2);
    under_test.apply(update(21, {announce("t0", 10)}), at(10s));
    CHECK(under_test.next_expiry() == at(11200ms));
    under_test.expire(at(11200ms));
    CHECK(standing(under_test, "t0") == target_standing::open);
    CHECK(standing(under_test, "t1") == target_standing::withdrawn);
}

TEST_CASE("a target withdrawn after the grace period gets no new flows at once")
{
    catalog under_test = make_catalog(2);
    under_test.note_store_unreachable(at(5s));
    under_test.apply(update(20, {}), at(9s));
    under_test.apply(update(21, {target_withdrawn{"t0"}}), at(12s));
    CHECK(standing(under_test, "t0") == target_standing::withdrawn);
}

TEST_CASE("a withdrawal of most targets of a service at once is delayed")
{
    // Guards against a store that loses announcements while it stays reachable.
    catalog under_test = make_catalog(4);
    const auto events = under_test.apply(
        update(20, {target_withdrawn{"t0"}, target_withdrawn{"t1"},
                    target_withdrawn{"t2"}}),
        at(1s));
    CHECK(open_count(under_test) == 4);
    CHECK(std::ranges::find(events, catalog_event(withdrawals_delayed{3})) !=
          events.end());
}

TEST_CASE("draining targets are withdrawn without a grace period")
{
    catalog under_test = make_catalog(4);
    std::vector<metadata_change> drains;
    std::vector<metadata_change> gone;
    for (const char* name : {"t0", "t1", "t2"})
    {
        drains.push_back(announce(name, 10, announced_state::draining));
        gone.emplace_back(target_withdrawn{name});
    }
    under_test.apply(update(11, drains), at(1s));
    under_test.apply(update(12, gone), at(2s));
    CHECK(standing(under_test, "t0") == target_standing::withdrawn);
}

TEST_CASE("a complete update withdraws the targets that it does not list")
{
    catalog under_test = make_catalog(3);
    under_test.apply(update(11, {data_centre_service_changed{"b", false}}),
                     at(1s));
    const auto events = under_test.apply(
        update(30, {announce("t0", 10), announce("t1", 11)}, true), at(2s));
    CHECK(standing(under_test, "t2") == target_standing::withdrawn);
    CHECK(std::ranges::find(events, catalog_event(data_centre_service_changed{
                                        "b", true})) != events.end());
}

TEST_CASE("a restarted target gets a new id")
{
    catalog under_test = make_catalog(1);
    const target_id before = under_test.make_view().parts().targets[0].id;
    target_announcement again = sample_target("t0", "orderdesk", "a", 10);
    again.started_ms = 2000;
    under_test.apply(update(11, {target_announced{again}}), at(1s));
    const steering_view view = under_test.make_view();
    REQUIRE(view.parts().targets.size() == 1);
    CHECK(view.parts().targets[0].id != before);
}

TEST_CASE("targets get no new flows while their data centre is out of service")
{
    catalog under_test = make_catalog(2);
    under_test.apply(update(11, {data_centre_service_changed{"a", false}}),
                     at(1s));
    CHECK(open_count(under_test) == 0);
    CHECK(standing(under_test, "t0") == target_standing::data_centre_out);
    under_test.apply(update(12, {data_centre_service_changed{"a", true}}),
                     at(2s));
    CHECK(open_count(under_test) == 2);
}

TEST_CASE(
    "a former service of a reference stays permitted for the flow lifetime")
{
    catalog under_test = make_catalog(1);
    under_test.apply(update(11, {configuration_published{sample_configuration(
                                    2, {{443, "platefiles"}})}}),
                     at(1s));
    const auto permitted_services = [&]
    {
        const steering_view view = under_test.make_view();
        return view.find_reference(address(1, 443))->permitted_services.size();
    };
    CHECK(permitted_services() == 2);
    under_test.expire(at(60s));
    CHECK(permitted_services() == 2);
    under_test.expire(at(61s));
    CHECK(permitted_services() == 1);
}

TEST_CASE("former services are unknown for one flow lifetime after a start")
{
    // Guards against breaking open flows of a former service when daemons
    // restart after a reference was bound to another service.
    catalog under_test = make_catalog(1);
    CHECK(under_test.make_view().parts().former_services_unknown);
    CHECK(under_test.next_expiry() == at(60s));
    under_test.expire(at(59s));
    CHECK(under_test.make_view().parts().former_services_unknown);
    under_test.expire(at(60s));
    CHECK_FALSE(under_test.make_view().parts().former_services_unknown);
    under_test.apply(update(11, {configuration_published{sample_configuration(
                                    2, {{443, "platefiles"}})}}),
                     at(61s));
    CHECK_FALSE(under_test.make_view().parts().former_services_unknown);
}

TEST_CASE("a removed reference has no services for new flows and expires")
{
    catalog under_test = make_catalog(1);
    under_test.apply(
        update(11, {configuration_published{sample_configuration(2, {})}}),
        at(1s));
    const steering_view view = under_test.make_view();
    const view_reference* reference = view.find_reference(address(1, 443));
    REQUIRE(reference != nullptr);
    CHECK(reference->weighted_services.empty());
    under_test.expire(at(61s));
    CHECK(under_test.make_view().parts().references.empty());
}

TEST_CASE("a daemon with a peer's snapshot has the same targets and references")
{
    catalog under_test = make_catalog(3);
    under_test.apply(update(11, {data_centre_service_changed{"b", false},
                                 announce("t0", 10, announced_state::draining),
                                 target_withdrawn{"t2"}}),
                     at(1s));
    catalog other(settings);
    other.apply(to_metadata_update(under_test.make_view(), at(1s)), at(5s));
    CHECK(other.revision() == 11);
    CHECK(standing(other, "t0") == target_standing::draining);
    CHECK(standing(other, "t1") == target_standing::open);
    const steering_view view = other.make_view();
    CHECK(view.parts().targets.size() == 2);
    CHECK(view.parts().out_of_service_data_centres ==
          std::vector<std::string>{"b"});
    CHECK(view.parts().version == set_version{1});
    CHECK(view.find_reference(address(1, 443))->weighted_services.size() == 1);
    CHECK(view.parts().targets[0].token ==
          under_test.make_view().parts().targets[0].token);
}

TEST_CASE("an announcement without a heartbeat does not count as a restart")
{
    // Guards against a peer's snapshot, which has no heartbeats, resetting the
    // load of all targets.
    catalog under_test = make_catalog(1);
    const target_id before = under_test.make_view().parts().targets[0].id;
    under_test.apply(to_metadata_update(under_test.make_view(), at(1s)),
                     at(1s));
    CHECK(under_test.make_view().parts().targets[0].id == before);
}
