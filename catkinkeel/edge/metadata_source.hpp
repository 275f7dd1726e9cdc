#pragma once

// Where a daemon learns what is published. An adapter implements it for one
// platform; the daemon knows no path, encoding or name of that platform.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace catkinkeel::edge
{

/// The store no longer has the changes after the revision asked for.
struct history_lost
{
    friend auto operator<=>(const history_lost&, const history_lost&) = default;
};

/// The store did not answer, or not usefully.
struct source_failure
{
    std::string reason;

    friend auto operator<=>(const source_failure&,
                            const source_failure&) = default;
};

using metadata_result =
    std::variant<steering::metadata_update, history_lost, source_failure>;

/// Which answers a read may get.
enum class read_consistency : std::uint8_t
{
    /// Everything that was acknowledged before the read.
    newest,
    /// What a replica knows, which may be seconds old. It costs a fraction.
    any_replica
};

/// One call at a time, but `stop` may be called by any thread.
class metadata_source
{
public:
    virtual ~metadata_source() = default;

    /// Everything that the store holds.
    virtual metadata_result read_all(read_consistency consistency) = 0;

    /// The changes after `revision`; waits up to `wait` for the first one.
    virtual metadata_result read_changes(std::uint64_t revision, duration wait,
                                         read_consistency consistency) = 0;

    /// For log lines.
    [[nodiscard]] virtual std::string name() const = 0;

    /// Ends the present call and all later ones.
    virtual void stop() = 0;
};

} // namespace catkinkeel::edge
