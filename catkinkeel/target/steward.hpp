#pragma once

// Selects the entry VM that controls the ramp limit of a cold target: its
// steward. At most one VM of the target's data centre acts as steward at any
// time, even if the VMs have different member views.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/objects.hpp"

#include <compare>
#include <optional>
#include <span>
#include <vector>

namespace catkinkeel
{

/// A VM that is possibly alive, that is, not yet certain to have stopped; this
/// includes suspect and recently dead VMs. It is on the platform's list, or was
/// on the list or sent a message within the last 60 s, and is not known to have
/// left. The 60 s count from its removal from this VM's copy of the list, since
/// the VM itself may learn of its removal 30 s later.
struct possibly_alive_vm
{
    vm_id id;
    data_centre_id data_centre;
    /// Whether it counts as alive for ownership, that is, was not declared
    /// dead.
    bool alive = false;
    /// When a message from it was last received.
    std::optional<instant> last_received;
    /// When it last acknowledged this VM.
    std::optional<instant> last_acknowledged;

    friend bool operator==(const possibly_alive_vm&,
                           const possibly_alive_vm&) = default;
};

/// The part of the member view that the steward rule uses. `possibly_alive`
/// contains `self` and is ordered by identifier.
struct steward_view
{
    vm_id self;
    data_centre_id data_centre;
    std::vector<possibly_alive_vm> possibly_alive;
    /// A time at which the content of the list was correct: the time of the
    /// read less the platform's delay. Empty before the first read.
    std::optional<instant> list_as_of;
    /// `list_as_of` of the first list in an unbroken run of lists that name
    /// `self`. The run ends with a list that does not name `self`, and also if
    /// the next list comes later than `steward_bounds::max_list_age` after the
    /// previous one's `list_as_of`, since `self` may have been off the list in
    /// between.
    std::optional<instant> listed_since;

    friend bool operator==(const steward_view&, const steward_view&) = default;
};

/// Time limits of the steward rule. They may be lowered together if the delay
/// of the platform's list is known to be shorter.
struct steward_bounds
{
    /// Maximum age of the list content with which a VM may act as steward.
    duration max_list_age = 30s;
    /// Minimum time between the first and the last list of the unbroken run of
    /// lists that name the VM. It is longer than `max_list_age`, so that each
    /// VM that may act has seen a list of the run; the extra 5 s cover clocks
    /// that run at different rates and the time between a decision and its
    /// packet. Time that passes without a new list does not count.
    duration min_listed_duration = 35s;

    friend auto operator<=>(const steward_bounds&,
                            const steward_bounds&) = default;
};

/// The VM in `data_centre` that ranks first by rendezvous hash among `vms`;
/// empty if there is none.
std::optional<vm_id> steward_of(target_id for_target,
                                data_centre_id data_centre,
                                std::span<const possibly_alive_vm> vms);

/// Like `steward_of`, but only among the VMs that count as alive.
std::optional<vm_id> poller_of(target_id for_target, data_centre_id data_centre,
                               std::span<const possibly_alive_vm> vms);

/// The conditions of section 5.7 of the design page, as written there: the list
/// is recent or every other VM of the data centre has sent a message recently,
/// and this VM has been listed long enough or every other VM has acknowledged
/// it. `may_act_as_steward` requires the first alternative of both. The
/// conditions here do not exclude two stewards (docs/model.md, cold start): a
/// VM with an old list that receives messages from every VM on it has no record
/// of a VM that was listed later, and a restarted VM has lost its record of
/// acknowledgements.
bool may_act_by_either_condition(const steward_view& view,
                                 const steward_bounds& bounds, instant now);

/// Conditions that exclude two stewards: the list is recent enough, and every
/// list of the last 35 s named this VM. They need no state from an earlier
/// process. They assume that a VM that is removed from the platform's list
/// stays off it for longer than `max_list_age` plus the platform's delay.
bool may_act_as_steward(const steward_view& view, const steward_bounds& bounds,
                        instant now);

/// Returns the share of a cold target's ramp limit that this VM may use.
class cold_start_rule
{
public:
    virtual ~cold_start_rule() = default;

    /// Share of the ramp limit in [0, 1]. The shares of all VMs must sum to at
    /// most 1 at any time. Called for each placement on a cold target, so it
    /// must be fast. `steward` is the cached result of `steward_of`.
    [[nodiscard]] virtual double ramp_share(const target& for_target,
                                            std::optional<vm_id> steward,
                                            const steward_view& view,
                                            instant now) const = 0;
};

/// Allows the steward the whole limit if `may_act` holds, other VMs nothing.
class steward_rule final : public cold_start_rule
{
public:
    using condition = bool (*)(const steward_view&, const steward_bounds&,
                               instant);

    explicit steward_rule(const steward_bounds& bounds = {},
                          condition may_act = &may_act_as_steward)
        : bounds_(bounds), may_act_(may_act)
    {
    }

    [[nodiscard]] double ramp_share(const target& for_target,
                                    std::optional<vm_id> steward,
                                    const steward_view& view,
                                    instant now) const override;

private:
    steward_bounds bounds_;
    condition may_act_;
};

} // namespace catkinkeel
