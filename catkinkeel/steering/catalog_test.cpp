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
                                    .lapse_grace = 2200ms};

metadata_update update(std::uint64_t revision,
                       std::vector<metadata_change> changes,
                       bool complete = false)
{
    return {complete, revision, std::move(changes)};
}

metadata_change announce(const std::string& name, std::uint32_t last,
                         announced_state state = announced_state::ready)
{
    target_announcement target = sample_target(name, "orderdesk", "a", last);
    target.state = state;
    return target_announced{target};
}

/// A site with `count` targets t0, t1... and one reference on port 443.
catalog site(std::uint32_t count)
{
    catalog known(settings);
    std::vector<metadata_change> changes;
    changes.emplace_back(
        terms_published{sample_terms(1, {{443, "orderdesk"}})});
    for (std::uint32_t i = 0; i < count; ++i)
    {
        changes.push_back(announce("t" + std::to_string(i), 10 + i));
    }
    known.apply(update(10, changes, true), at(0s));
    return known;
}

std::size_t open_count(const catalog& known)
{
    const steering_view view = known.make_view();
    return static_cast<std::size_t>(std::ranges::count(
        view.parts().targets, target_standing::open, &view_target::standing));
}

target_standing standing(const catalog& known, const std::string& name)
{
    const steering_view view = known.make_view();
    const auto& targets = view.parts().targets;
    const auto found = std::ranges::find(targets, name, &view_target::name);
    REQUIRE(found != targets.end());
    return found->standing;
}

} // namespace

TEST_CASE("a catalog without terms is not usable")
{
    catalog known(settings);
    CHECK_FALSE(known.usable());
    known.apply(update(1, {announce("t", 1)}), at(0s));
    CHECK_FALSE(known.usable());
}

TEST_CASE("terms never go back, whatever the store says")
{
    catalog known = site(1);
    known.apply(update(11, {terms_published{sample_terms(7, {})}}), at(1s));
    const auto events = known.apply(
        update(12, {terms_published{sample_terms(3, {{443, "orderdesk"}})}}),
        at(2s));
    CHECK(known.make_view().parts().version == set_version{7});
    REQUIRE(events.size() == 1);
    CHECK(std::get<terms_ignored>(events[0]) == terms_ignored{{3}, {7}});
}

TEST_CASE("an answer older than one applied before changes nothing")
{
    catalog known = site(3);
    known.apply(update(9, {target_withdrawn{"t1"}}), at(1s));
    CHECK(open_count(known) == 3);
    CHECK(known.revision() == 10);
}

TEST_CASE("a draining target gets no new flows and stays known")
{
    catalog known = site(2);
    known.apply(update(11, {announce("t0", 10, announced_state::draining)}),
                at(1s));
    CHECK(standing(known, "t0") == target_standing::draining);
    CHECK(open_count(known) == 1);
}

TEST_CASE("a withdrawn target stays known for the life of its flows")
{
    catalog known = site(2);
    known.apply(update(11, {target_withdrawn{"t0"}}), at(1s));
    CHECK(standing(known, "t0") == target_standing::withdrawn);
    known.expire(at(60s));
    CHECK(standing(known, "t0") == target_standing::withdrawn);
    REQUIRE(known.next_expiry() == at(61s));
    known.expire(at(61s));
    CHECK(known.make_view().parts().targets.size() == 1);
    CHECK_FALSE(known.next_expiry());
}

TEST_CASE("targets that lapse while the store is away are used until their "
          "grace ends")
{
    // Guards against refusing a service whose entries lapsed in an outage.
    catalog known = site(2);
    known.note_contact_lost(at(5s));
    known.apply(update(20, {target_withdrawn{"t0"}, target_withdrawn{"t1"}}),
                at(9s));
    CHECK(open_count(known) == 2);
    known.apply(update(21, {announce("t0", 10)}), at(10s));
    CHECK(known.next_expiry() == at(11200ms));
    known.expire(at(11200ms));
    CHECK(standing(known, "t0") == target_standing::open);
    CHECK(standing(known, "t1") == target_standing::withdrawn);
}

TEST_CASE("a target that vanishes in calm times is gone at once")
{
    catalog known = site(2);
    known.note_contact_lost(at(5s));
    known.apply(update(20, {}), at(9s));
    known.apply(update(21, {target_withdrawn{"t0"}}), at(12s));
    CHECK(standing(known, "t0") == target_standing::withdrawn);
}

TEST_CASE("most targets of a service vanishing together are doubted")
{
    // Guards against entries that the store drops while it serves others.
    catalog known = site(4);
    const auto events =
        known.apply(update(20, {target_withdrawn{"t0"}, target_withdrawn{"t1"},
                                target_withdrawn{"t2"}}),
                    at(1s));
    CHECK(open_count(known) == 4);
    CHECK(std::ranges::find(events, catalog_event(lapse_doubted{3})) !=
          events.end());
}

TEST_CASE("targets that drained before they vanish are not doubted")
{
    catalog known = site(4);
    std::vector<metadata_change> drains;
    std::vector<metadata_change> gone;
    for (const char* name : {"t0", "t1", "t2"})
    {
        drains.push_back(announce(name, 10, announced_state::draining));
        gone.emplace_back(target_withdrawn{name});
    }
    known.apply(update(11, drains), at(1s));
    known.apply(update(12, gone), at(2s));
    CHECK(standing(known, "t0") == target_standing::withdrawn);
}

TEST_CASE("a complete answer withdraws what it does not name")
{
    catalog known = site(3);
    known.apply(update(11, {data_centre_switched{"b", false}}), at(1s));
    const auto events = known.apply(
        update(30, {announce("t0", 10), announce("t1", 11)}, true), at(2s));
    CHECK(standing(known, "t2") == target_standing::withdrawn);
    CHECK(std::ranges::find(events, catalog_event(data_centre_switched{
                                        "b", true})) != events.end());
}

TEST_CASE("a target that starts again under its name is another one")
{
    catalog known = site(1);
    const target_id before = known.make_view().parts().targets[0].id;
    target_announcement again = sample_target("t0", "orderdesk", "a", 10);
    again.started_ms = 2000;
    known.apply(update(11, {target_announced{again}}), at(1s));
    const steering_view view = known.make_view();
    REQUIRE(view.parts().targets.size() == 1);
    CHECK(view.parts().targets[0].id != before);
}

TEST_CASE("a closed data centre's targets get no new flows until it is back")
{
    catalog known = site(2);
    known.apply(update(11, {data_centre_switched{"a", false}}), at(1s));
    CHECK(open_count(known) == 0);
    CHECK(standing(known, "t0") == target_standing::data_centre_out);
    known.apply(update(12, {data_centre_switched{"a", true}}), at(2s));
    CHECK(open_count(known) == 2);
}

TEST_CASE("a service named before stays permitted for the life of its flows")
{
    catalog known = site(1);
    known.apply(
        update(11, {terms_published{sample_terms(2, {{443, "platefiles"}})}}),
        at(1s));
    const auto permitted = [&]
    {
        const steering_view view = known.make_view();
        return view.find_reference(address(1, 443))->permitted.size();
    };
    CHECK(permitted() == 2);
    known.expire(at(60s));
    CHECK(permitted() == 2);
    known.expire(at(61s));
    CHECK(permitted() == 1);
}

TEST_CASE("a process that just started does not know former services")
{
    // Guards against flows that break when daemons restart after a move.
    catalog known = site(1);
    CHECK(known.make_view().parts().former_services_unknown);
    CHECK(known.next_expiry() == at(60s));
    known.expire(at(59s));
    CHECK(known.make_view().parts().former_services_unknown);
    known.expire(at(60s));
    CHECK_FALSE(known.make_view().parts().former_services_unknown);
    known.apply(
        update(11, {terms_published{sample_terms(2, {{443, "platefiles"}})}}),
        at(61s));
    CHECK_FALSE(known.make_view().parts().former_services_unknown);
}

TEST_CASE("a removed reference has no choices and is forgotten in the end")
{
    catalog known = site(1);
    known.apply(update(11, {terms_published{sample_terms(2, {})}}), at(1s));
    const steering_view view = known.make_view();
    const view_reference* reference = view.find_reference(address(1, 443));
    REQUIRE(reference != nullptr);
    CHECK(reference->choices.empty());
    known.expire(at(61s));
    CHECK(known.make_view().parts().references.empty());
}

TEST_CASE("a daemon that takes a peer's snapshot steers as the peer does")
{
    catalog known = site(3);
    known.apply(update(11, {data_centre_switched{"b", false},
                            announce("t0", 10, announced_state::draining),
                            target_withdrawn{"t2"}}),
                at(1s));
    catalog other(settings);
    other.apply(to_update(known.make_view(), at(1s)), at(5s));
    CHECK(other.revision() == 11);
    CHECK(standing(other, "t0") == target_standing::draining);
    CHECK(standing(other, "t1") == target_standing::open);
    const steering_view view = other.make_view();
    CHECK(view.parts().targets.size() == 2);
    CHECK(view.parts().closed == std::vector<std::string>{"b"});
    CHECK(view.parts().version == set_version{1});
    CHECK(view.find_reference(address(1, 443))->choices.size() == 1);
    CHECK(view.parts().targets[0].token ==
          known.make_view().parts().targets[0].token);
}

TEST_CASE("an announcement without a heartbeat is no new life")
{
    // Guards against a peer's snapshot that forgets the load of all targets.
    catalog known = site(1);
    const target_id before = known.make_view().parts().targets[0].id;
    known.apply(to_update(known.make_view(), at(1s)), at(1s));
    CHECK(known.make_view().parts().targets[0].id == before);
}
