#pragma once

// Every target of the set in effect as this VM knows it: whom to poll, what to
// tell the other VMs, and how many flows each target can bear. Not safe for use
// by two threads; the decide thread owns it.
//
// Example:
//   target_registry targets(std::make_shared<steward_rule>(), first_sequence);
//   targets.apply_set(set, now);
//   targets.apply_stewardship(view, now);
//   for (target_id id : targets.targets_to_poll(now)) { fetch(id); }
//   targets.apply_report(id, parse_load_report(body), held, now);
//   send_to_all(targets.take_news(now));
//   send_each(targets.take_grant_news(demand, now));

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/target/bearing.hpp"
#include "catkinkeel/target/grants.hpp"
#include "catkinkeel/target/knowledge.hpp"
#include "catkinkeel/target/steward.hpp"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace catkinkeel
{

/// Reports are read this often, each target at its own moment of the period.
/// The period does not grow when all is quiet, since a cold start without
/// warning shows in a report only.
inline constexpr duration poll_period = 1s;
/// Changes in one message; at 40 bytes each it stays below 2 KB.
inline constexpr std::size_t most_changes_in_news = 32;
/// A change is told this often, with a growing pause, as news may be lost.
inline constexpr std::uint8_t tellings_of_a_change = 3;
/// A poller that has just started tells others that a target is cold only after
/// the time in which they can tell it that the target is warm.
inline constexpr duration settling_period = ramp::period;
/// A target without changes is told again, which repairs what was lost.
inline constexpr duration news_refresh = 300s;
/// Connections are told in steps of 1/8 of the capacity, this often at most.
inline constexpr duration news_of_load_period = 10s;

class target_registry final : public bearing_source
{
public:
    /// `first_sequence` must be above every sequence number that an earlier
    /// process of this VM used, e.g. the wall clock in nanoseconds.
    target_registry(std::shared_ptr<const cold_start_rule> rule,
                    std::uint64_t first_sequence);

    /// Takes a set into effect; an older version is ignored. A target that is
    /// new, has moved to another address or is in a data centre out of service
    /// is cold.
    void apply_set(published_set_ptr set, instant now);

    /// The result of a poll. `held` is the number of flows that this VM holds
    /// on the target. Reports of targets that others poll are ignored.
    void apply_report(target_id id, const outcome<load_report>& report,
                      std::uint32_t held, instant now);

    /// News of another VM. Ignored if it is not possibly alive, and where a
    /// later status of the same target from it is known.
    void apply_news(vm_id from, const target_news& news, instant now);

    /// The member view has changed, or its moments have.
    void apply_stewardship(steward_view view, instant now);

    /// To be called every 100 ms. A gap over 1 s restarts the ramps.
    void tick(instant now);

    [[nodiscard]] bearing bearing_of(const target& which, double share,
                                     std::uint32_t held,
                                     instant now) const override;

    /// Targets whose poll has come due since the previous call.
    std::vector<target_id> targets_to_poll(instant now);

    /// Changes to tell all other VMs, at most `most_changes_in_news`.
    target_news take_news(instant now);

    /// Requests for grants and grants, by receiver. Requests are due each
    /// `request_period`; grants when they are asked for or grow.
    std::map<vm_id, target_news> take_grant_news(const traffic_demand& demand,
                                                 instant now);

    /// What a VM that has just started needs: the targets that this VM polls,
    /// and those that the newcomer polls in this VM's view. The latter let it
    /// recognize a warm target by its instance.
    target_news news_for(vm_id newcomer);

    /// Null if the set in effect does not contain the target.
    [[nodiscard]] const target_knowledge* knowledge_of(target_id id) const;

private:
    struct told_status
    {
        target_status status;
        instant at;
        std::uint8_t tellings = 0;
    };
    struct entry
    {
        target published;
        bool open = true;
        target_knowledge known;
        std::optional<vm_id> steward;
        std::optional<vm_id> poller;
        /// Since when this VM polls it, if it does.
        instant polled_since;
        std::optional<told_status> told;
        /// How this VM divides the ramp limit while it is the steward.
        grant_book book;
        /// What this VM was granted by a steward.
        std::optional<held_grant> grant;
    };
    struct service_health
    {
        std::uint32_t serving = 0;
        std::uint32_t reachable = 0;
    };

    [[nodiscard]] bool polled_here(const entry& from) const;
    [[nodiscard]] report_reader reader_of(const entry& from) const;
    [[nodiscard]] bearing warm_bearing(const entry& from, double share,
                                       std::uint32_t held) const;
    [[nodiscard]] bearing cold_bearing(const entry& from, double share,
                                       std::uint32_t held, instant now) const;
    [[nodiscard]] double acting_part(const entry& from, instant now) const;
    void divide_ramp(target_id id, entry& each, instant now);
    void apply_requests(vm_id from, const grant_requests& requests,
                        instant now);
    void apply_grants(const target_grants& grants, instant now);
    void take_requests(const traffic_demand& demand, instant now,
                       std::map<vm_id, target_news>& into);
    void take_grants(instant now, std::map<vm_id, target_news>& into);
    void choose_readers(instant now);
    void count_reachable();
    void advance(entry& each, instant now);
    target_status next_status(target_id id, const target_knowledge& known);

    std::shared_ptr<const cold_start_rule> rule_;
    std::uint64_t sequence_;
    /// Identifies this process in requests for grants.
    std::uint64_t session_;
    published_set_ptr set_;
    steward_view view_;
    std::unordered_map<target_id, entry> entries_;
    std::vector<target_id> polled_;
    std::unordered_map<service_id, service_health> health_;
    /// Highest sequence number by sender and target.
    std::unordered_map<std::uint64_t, std::uint64_t> heard_;
    std::optional<instant> walked_;
    std::optional<instant> polled_until_;
    std::optional<instant> requested_;
};

} // namespace catkinkeel
