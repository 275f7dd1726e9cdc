#pragma once

// Checks the promises of the daemons from what callers and backend servers see.
// No socket and no clock: the parts of the soak report what happened.

#include "soak/plan.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinkeel::soak
{

/// A backend server's process: a restart is another one.
struct target_process
{
    std::uint32_t number = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const target_process&,
                            const target_process&) = default;
};

struct flow_counts
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t not_opened = 0;
    std::uint64_t finished = 0;
    /// Flows that ended with their target's process.
    std::uint64_t lost_with_target = 0;
    std::uint64_t packets_checked = 0;

    friend auto operator<=>(const flow_counts&, const flow_counts&) = default;
};

/// All times are those of the caller's clock and never go back.
class invariant_checker
{
public:
    explicit invariant_checker(std::uint32_t daemons);

    // What the operator and the schedule do.

    /// A set took effect at the store: services by reference.
    void published(std::map<endpoint, std::uint32_t> services, instant now);
    void evacuated(const std::string& data_centre, bool out, instant now);
    /// A target began to drain and the store accepted its word.
    void draining(target_process target, instant now);
    /// The daemon is stopped, paused or cut off until `until`.
    void disturbed(std::uint32_t daemon, instant until);
    /// Something that every flow may feel lasts until `until`.
    void troubled(instant until);
    void target_ended(target_process target);

    // What backend servers see.

    /// An opening packet came from a daemon and is meant for this process.
    void opening_arrived(std::uint32_t daemon, const endpoint& reference,
                         target_process at, std::uint32_t service,
                         const std::string& data_centre, instant now);
    /// A packet of a flow that opened at `opened_at`.
    void packet_arrived(std::uint32_t daemon, const endpoint& caller,
                        target_process opened_at, target_process at);

    // What callers see.

    void opened();
    void refused();
    /// No answer to any copy of the opening packet. `began` is the time of the
    /// first copy.
    void not_opened(const endpoint& caller, instant began);
    void finished();
    /// A daemon reset an open flow.
    void reset(const endpoint& caller, target_process at);
    /// Packets that live daemons got were not answered; `attempts` of them.
    void silent(const endpoint& caller, target_process at,
                std::uint32_t attempts);

    // Processes.

    /// `asked` tells whether the soak had told it to end.
    void exited(std::uint32_t daemon, int status, bool asked, bool in_time);

    /// Whether nothing has disturbed flows since then.
    [[nodiscard]] bool calm(instant since) const
    {
        return !troubled_until_ || since >= *troubled_until_;
    }
    [[nodiscard]] const flow_counts& counts() const
    {
        return counts_;
    }
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return violations_;
    }

private:
    struct publication
    {
        instant at;
        std::map<endpoint, std::uint32_t> services;
    };

    [[nodiscard]] bool undisturbed(std::uint32_t daemon, instant since) const;
    [[nodiscard]] bool may_open(std::uint32_t daemon, const endpoint& reference,
                                std::uint32_t service, instant now) const;
    [[nodiscard]] bool alive(target_process target) const
    {
        return !ended_.contains(target);
    }
    void violated(std::string what);

    std::vector<instant> disturbed_until_;
    std::optional<instant> troubled_until_;
    std::vector<publication> publications_;
    std::map<std::string, instant> out_since_;
    std::map<target_process, instant> draining_since_;
    std::set<target_process> ended_;
    flow_counts counts_;
    std::vector<std::string> violations_;
};

} // namespace catkinkeel::soak
