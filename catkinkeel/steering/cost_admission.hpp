#pragma once

// Admission control by cost. When a service has too little capacity, the
// openings whose delay or refusal costs callers least are held back first. The
// decision needs only exchange times of this daemon's own flows, since its
// count of requests in flight says little about a target that serves the flows
// of many daemons. docs/design/cost_admission.md has the reasons.
//
// Example:
//   cost_admission control(settings, limits);
//   control.replace_view(view);
//   control.record_exchange(service, reference, 45ms, now);
//   const admission verdict =
//       control.decide({service, reference, retransmission}, best, random,
//       now);

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/admission.hpp"
#include "catkinkeel/steering/objects.hpp"
#include "catkinkeel/steering/selection.hpp"
#include "catkinkeel/steering/view.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinkeel::steering
{

struct cost_admission_settings
{
    /// The wait of a service is this percentile of the waits within
    /// `wait_window`, or of the last `min_waits`, since a daemon may see only 5
    /// exchanges a second. A mean would be that of a few slow targets, at which
    /// holding back openings of all changes nothing.
    double wait_percentile = 0.4;
    duration wait_window = 500ms;
    std::size_t min_waits = 5;
    /// Period at which the level is updated while exchanges end.
    duration update_period = 250ms;
    /// Time without an exchange after which the level is whole again: what was
    /// measured before says nothing about the present.
    duration measurement_lifetime = 2s;
    /// The level falls if the wait takes more than this part of the time that
    /// the strictest latency goal leaves, and rises otherwise.
    double max_used_budget = 0.5;
    /// The level falls, whatever the wait is, if more than this part of the
    /// answers are rejections. With three tries at this share, 0.1 % of the
    /// callers are not served. Failing targets alone exceed it until they are
    /// suspected.
    double max_rejected_share = 0.1;
    /// Factor and summand of the level for each update. The level falls to a
    /// quarter within 1 s and rises to 1 again in 1 s. A slower rise (5 s)
    /// left capacity unused after a surge.
    double fall_factor = 0.7;
    double rise_step = 0.3;
    /// Least share of openings admitted of each reference.
    double min_share = 0.1;
    /// Bounds of the limits that are derived from measured work.
    double min_requests_per_slot = 1;
    double max_requests_per_slot = 16;

    friend auto operator<=>(const cost_admission_settings&,
                            const cost_admission_settings&) = default;
};

/// Weight of an answer in the share of rejections. A daemon that sees 20
/// answers a second notices an overload within a second.
inline constexpr double rejection_weight = 1.0 / 16;

/// Waits of the last exchanges of a service. Immutable.
class recent_waits
{
public:
    static constexpr std::size_t capacity = 32;

    [[nodiscard]] recent_waits with(duration wait, instant now) const;

    /// The wait that `part` of the exchanges stay below. Of exchanges older
    /// than `window`, only so many count that there are `min_count`. Zero
    /// without exchanges.
    [[nodiscard]] duration percentile(double part, duration window,
                                      std::size_t min_count, instant now) const;

    /// When the last exchange ended.
    [[nodiscard]] instant updated_at() const;

    friend auto operator<=>(const recent_waits&, const recent_waits&) = default;

private:
    struct entry
    {
        duration wait{};
        instant ended_at;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    std::array<entry, capacity> entries_{};
    std::uint64_t count_ = 0;
};

/// Time that the requests of one reference take at a target that is not
/// overloaded: the 30th percentile of exchange times over some hundred
/// exchanges. It rises by at most 6 % a minute, so that minutes of overload do
/// not make a long wait appear as work. Immutable.
class typical_work
{
public:
    /// Exchanges from which the first estimate is made.
    static constexpr std::size_t initial_exchanges = 20;

    [[nodiscard]] typical_work with(duration exchange, instant now) const;

    /// Empty before `initial_exchanges`.
    [[nodiscard]] std::optional<duration> value() const;

    /// Whether `exchange` is too short for work: the target failed or shed the
    /// request.
    [[nodiscard]] bool is_too_short(duration exchange) const;

    friend auto operator<=>(const typical_work&, const typical_work&) = default;

private:
    std::uint32_t exchanges_ = 0;
    std::array<float, initial_exchanges> first_seconds_{};
    double percentile_seconds_ = 0;
    double seconds_ = 0;
    instant updated_at_;
};

/// Value to callers for each second of work at a target; a higher priority
/// doubles it. `lowest` is the lowest priority among the service's references.
[[nodiscard]] double value_density(std::uint32_t priority, std::uint32_t lowest,
                                   duration work);

/// The level of a service after an update. `budget` is the time that the
/// strictest latency goal leaves after the work.
[[nodiscard]] double next_level(double level, duration wait, duration budget,
                                const cost_admission_settings& settings);

/// Share of the openings admitted of the reference with position `rank` by
/// value density, 0 for the least dense of `count`. The least dense one is
/// reduced first; the densest one always has 1.
[[nodiscard]] double admitted_share(double level, std::size_t rank,
                                    std::size_t count, double min_share);

/// The limits at which the work of as many requests as a slot has is done
/// within the latency goal. `constants` if the goal is not known.
[[nodiscard]] admission_limits
limits_for(duration work, duration latency_goal,
           const admission_limits& constants,
           const cost_admission_settings& settings);

/// An opening packet whose service is chosen.
struct service_opening
{
    service_id service;
    /// Address of the reference.
    endpoint reference;
    std::uint32_t retransmission = 0;
    /// Whether an earlier copy was forwarded. Its target may have got it, so
    /// this copy is not refused as one that never ran.
    bool forwarded_before = false;

    friend auto operator<=>(const service_opening&,
                            const service_opening&) = default;
};

/// Admission of a service at one moment.
struct service_admission
{
    service_id service;
    /// 1 if no opening is held back.
    double level = 1;
    duration wait{};
    /// Share of the last answers that look like rejections.
    double rejected_share = 0;

    friend auto operator<=>(const service_admission&,
                            const service_admission&) = default;
};

/// Maximum number of changes that wait for `take_changes`; more are dropped.
inline constexpr std::size_t max_admission_changes = 64;

/// Decides on openings of the services that references of different priority
/// use, and keeps what is measured for them. Other services are subject to the
/// constant limits. Not thread-safe.
class cost_admission
{
public:
    cost_admission(cost_admission_settings settings, admission_limits limits)
        : settings_(settings), limits_(limits)
    {
    }

    /// Adopts the references of a view. Measurements of references that stay
    /// with a service are kept. A service that is not governed any more ceases
    /// to hold back openings.
    void replace_view(const steering_view& view);

    /// Records an exchange that ended at `now`.
    void record_exchange(service_id service, const endpoint& reference,
                         duration elapsed, instant now);

    /// Records an answer that looks like a rejection by a target that sheds
    /// load.
    void record_rejection(service_id service, instant now);

    /// Decides on an opening packet whose best candidate is `best`.
    [[nodiscard]] admission decide(const service_opening& opening,
                                   const candidate& best, random_source& random,
                                   instant now);

    /// Returns the services that began to hold back openings, or ceased to,
    /// since the last call.
    [[nodiscard]] std::vector<service_admission> take_changes();

    /// Returns the services that have held back openings since their
    /// configuration took effect.
    [[nodiscard]] std::vector<service_admission> reduced_services(instant now);

private:
    struct measured_reference
    {
        endpoint address;
        request_terms terms;
        typical_work work;
        /// By value density; empty while the work is not known.
        std::optional<std::size_t> rank;
    };

    struct measured_service
    {
        service_id id;
        std::vector<measured_reference> references;
        /// Positions in `references` by address and port.
        std::unordered_map<std::uint64_t, std::size_t> positions;
        /// Number of references with a rank.
        std::size_t ranked = 0;
        std::uint64_t exchanges = 0;
        recent_waits waits;
        /// Their percentile at the last update.
        duration wait{};
        /// The shortest of them: what certainly cannot be served is refused.
        duration shortest_wait{};
        /// Moving average over the last answers.
        double rejected_share = 0;
        instant next_update;
        double level = 1;
        bool was_reduced = false;

        [[nodiscard]] measured_reference* find(const endpoint& address);
    };

    [[nodiscard]] measured_service* find(service_id service);
    void count_answer(measured_service& service, bool rejected, instant now);
    void update(measured_service& service, instant now);
    void update_ranks(measured_service& service);
    void set_level(measured_service& service, double level);
    /// Drops measurements that are too old.
    void expire(measured_service& service, instant now);

    cost_admission_settings settings_;
    admission_limits limits_;
    std::optional<set_version> version_;
    std::unordered_map<service_id, measured_service> services_;
    std::vector<service_admission> changes_;
    /// Densities and positions of references, reused by `update_ranks`.
    std::vector<std::pair<double, std::size_t>> order_;
};

} // namespace catkinkeel::steering
