#pragma once

// Which entry VM decides on the ramp limit of a cold target. At most one VM of
// the target's data centre does at any time, whatever the VMs' views are.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/contract/objects.hpp"

#include <compare>
#include <optional>
#include <span>
#include <vector>

namespace catkinkeel
{

/// A VM that is possibly alive: it is on the platform's list, or was on the
/// list or heard from within the last 60 s, and is not known to have left. The
/// 60 s count from the moment it went off the list that this VM holds, since
/// the VM itself may learn of its removal 30 s later.
struct possibly_alive_vm
{
    vm_id id;
    data_centre_id data_centre;
    /// Whether it counts as alive for ownership (not declared dead).
    bool alive = false;
    /// When a message from it was last received.
    std::optional<instant> heard;
    /// When it last acknowledged this VM.
    std::optional<instant> acknowledged;

    friend bool operator==(const possibly_alive_vm&,
                           const possibly_alive_vm&) = default;
};

/// What the steward rule needs of the member view. `possibly_alive` contains
/// `self` and is ordered by identifier.
struct steward_view
{
    vm_id self;
    data_centre_id data_centre;
    std::vector<possibly_alive_vm> possibly_alive;
    /// A moment at which the content of the list was right: the read of the
    /// list less the platform's delay. Empty before the first read.
    std::optional<instant> list_as_of;
    /// `list_as_of` of the first list in an unbroken run of lists that name
    /// `self`. The run ends with a list that does not, and where the next list
    /// comes later than `steward_bounds::list_age` after the previous one's
    /// `list_as_of`, since `self` may have been off the list in between.
    std::optional<instant> listed_since;

    friend bool operator==(const steward_view&, const steward_view&) = default;
};

/// Bounds of the steward rule. They may be lowered together where the
/// platform's list is known to lag less.
struct steward_bounds
{
    /// Oldest content of a list with which a VM may act.
    duration list_age = 30s;
    /// Time between the first and the last list of the run. Longer than
    /// `list_age`, so that each VM that may act has seen a list of the run; 5 s
    /// cover clocks that run at different rates and the time between a decision
    /// and its packet. Time that passes without a new list does not count.
    duration listed_for = 35s;

    friend auto operator<=>(const steward_bounds&,
                            const steward_bounds&) = default;
};

/// First by rendezvous hash of `vms` in `zone`; empty if there is none.
std::optional<vm_id> steward_of(target_id which, data_centre_id zone,
                                std::span<const possibly_alive_vm> vms);

/// Same, but over the VMs that count as alive.
std::optional<vm_id> poller_of(target_id which, data_centre_id zone,
                               std::span<const possibly_alive_vm> vms);

/// The conditions of section 5.7 of the design page, as written there. They do
/// not exclude two stewards (docs/model.md, cold start): a VM with an old list
/// that hears every VM it knows does not know of one that was listed since, and
/// a VM that has restarted no longer knows whom it acknowledged.
bool may_act_by_either_condition(const steward_view& view,
                                 const steward_bounds& bounds, instant now);

/// Conditions that exclude two stewards: the list is young enough and every
/// list of 35 s named this VM. They need no memory of an earlier process. They
/// assume that a VM that goes off the platform's list stays off it for longer
/// than `list_age` and the platform's delay.
bool may_act_as_steward(const steward_view& view, const steward_bounds& bounds,
                        instant now);

/// Decides how much of a cold target's ramp limit this VM may use.
class cold_start_rule
{
public:
    virtual ~cold_start_rule() = default;

    /// Part of the ramp limit in [0, 1]. Over all VMs the parts must sum to at
    /// most 1 at any time. Fast: called for each placement on a cold target.
    /// `steward` is the cached result of `steward_of`.
    [[nodiscard]] virtual double part(const target& which,
                                      std::optional<vm_id> steward,
                                      const steward_view& view,
                                      instant now) const = 0;
};

/// The steward may use the whole limit if `may_act` holds.
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

    [[nodiscard]] double part(const target& which, std::optional<vm_id> steward,
                              const steward_view& view,
                              instant now) const override;

private:
    steward_bounds bounds_;
    condition may_act_;
};

} // namespace catkinkeel
