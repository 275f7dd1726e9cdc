#pragma once

// Interface of the metadata store from which a daemon reads the published
// configuration and targets. An adapter implements it for one platform; the
// daemon depends on no path, encoding or name of that platform.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace catkinkeel::edge
{

/// The store no longer has the changes after the requested revision.
struct history_lost
{
    friend auto operator<=>(const history_lost&, const history_lost&) = default;
};

/// The store did not answer, or its answer could not be used.
struct source_failure
{
    std::string reason;
    /// The store answered with something that cannot be decoded, or with more
    /// than the limit. The same read would most likely fail again.
    bool unusable_answer = false;

    friend auto operator<=>(const source_failure&,
                            const source_failure&) = default;
};

using metadata_result =
    std::variant<steering::metadata_update, history_lost, source_failure>;

/// How recent the answer to a read must be.
enum class read_consistency : std::uint8_t
{
    /// Includes every change acknowledged before the read.
    newest,
    /// The state of any replica, which may be seconds old. Costs a fraction
    /// of a read with `newest`.
    any_replica
};

/// Only one read may run at a time; `stop` may be called by any thread.
class metadata_source
{
public:
    virtual ~metadata_source() = default;

    /// Returns the whole content of the store.
    virtual metadata_result read_all(read_consistency consistency) = 0;

    /// Returns the changes after `revision`; waits up to `max_wait` for the
    /// first one.
    virtual metadata_result read_changes(std::uint64_t revision,
                                         duration max_wait,
                                         read_consistency consistency) = 0;

    /// Name of the store in log lines.
    [[nodiscard]] virtual std::string name() const = 0;

    /// Makes the current read and all later ones return at once.
    virtual void stop() = 0;
};

} // namespace catkinkeel::edge
