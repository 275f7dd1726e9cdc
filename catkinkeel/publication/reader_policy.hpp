#pragma once

// Selects the VMs that read the configuration service, and the delays between
// their reads. Pure functions of the member view and of the times passed in.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/vm/member.hpp"

#include <cstddef>
#include <vector>

namespace catkinkeel
{

/// Number of VMs of a data centre that watch the configuration service. With
/// two the death of one does not delay a change; 16 data centres x 2 watches
/// stay far below the service's limit of 2,000 reads per second.
inline constexpr std::size_t readers_per_data_centre = 2;

/// The first `readers_per_data_centre` VMs by rendezvous hash among those of
/// `data_centre` that may own buckets; fewer if there are not so many.
std::vector<vm_id> select_readers(const member_view& view,
                                  data_centre_id data_centre);

/// Whether `self` is one of the readers of its data centre.
bool is_reader(const member_view& view, vm_id self, data_centre_id data_centre);

/// Time without a version received from a peer or from the service after which
/// a VM that is not a reader reads the service itself.
inline constexpr duration reader_fallback_delay = 5s;

/// Maximum jitter added to `reader_fallback_delay`, so that VMs that lose their
/// peers together do not read together: 2,300 VMs over 2 s are 1,150 reads per
/// second.
inline constexpr duration reader_fallback_jitter = 2s;

/// Time without a version after which `self` reads although it is not a reader.
/// Constant for a VM.
duration fallback_delay(vm_id self);

/// Whether `self` is to watch the service at `now`; `last_version_received` is
/// the time at which it last received a version from a peer or the service.
bool should_watch_service(const member_view& view, vm_id self,
                          data_centre_id data_centre,
                          instant last_version_received, instant now);

/// Result of a watch, which determines the delay before the next one.
enum class watch_result : std::uint8_t
{
    /// A new index, or no change within the requested wait.
    usable,
    /// A failure, or an index that is not newer or cannot be parsed.
    unusable
};

/// Delay before the next watch. Without it a service that answers at once with
/// an old index would be read as fast as it answers.
duration watch_delay(watch_result result, random_source& random);

} // namespace catkinkeel
