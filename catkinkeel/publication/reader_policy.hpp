#pragma once

// Which VMs read the configuration service, and when they read it again. Pure
// functions of the member view and of times passed in.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/vm/member.hpp"

#include <cstddef>
#include <vector>

namespace catkinkeel
{

/// VMs of a data centre that watch the configuration service. Two, so that the
/// death of one does not delay a change; 16 data centres x 2 watches stay far
/// below the 2,000 reads per second of the service.
inline constexpr std::size_t readers_per_data_centre = 2;

/// The VMs of `data_centre` that own buckets, ranked by rendezvous hash; at
/// most `readers_per_data_centre`.
std::vector<vm_id> readers_of(const member_view& view,
                              data_centre_id data_centre);

/// Whether `self` is one of the readers of its data centre.
bool is_reader(const member_view& view, vm_id self, data_centre_id data_centre);

/// Time without news of versions, from peers or from the service, after which
/// a VM that is no reader reads the service itself.
inline constexpr duration reader_fallback = 5s;

/// Spread of `reader_fallback`, so that VMs that lose their peers together do
/// not read together: 2,300 VMs over 2 s are 1,150 reads per second.
inline constexpr duration reader_fallback_jitter = 2s;

/// The wait of `self` before it reads although it is no reader. Fixed for a VM.
duration fallback_after(vm_id self);

/// Whether `self` is to watch the service at `now`; `last_news` is when it last
/// heard of a version.
bool watches_service(const member_view& view, vm_id self,
                     data_centre_id data_centre, instant last_news,
                     instant now);

/// What a watch brought.
enum class watch_result : std::uint8_t
{
    /// A new index, or none within the wait asked for.
    useful,
    /// A failure, or an index that is older, refused or unreadable.
    useless
};

/// Pause before the next watch. A service that answers at once with an old
/// index would otherwise be read as fast as it answers.
duration watch_pause(watch_result result, random_source& random);

} // namespace catkinkeel
