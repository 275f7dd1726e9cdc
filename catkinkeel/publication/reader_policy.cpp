#include "catkinkeel/publication/reader_policy.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel
{

namespace
{

// Keeps this ranking independent of the rankings for buckets and targets.
constexpr std::uint64_t reader_rank_salt = 0x72656164657273ULL;

constexpr duration unusable_watch_delay = 1s;
constexpr duration unusable_watch_jitter = 500ms;

duration duration_below(duration bound, std::uint64_t hash)
{
    return duration(static_cast<duration::rep>(
        hash % static_cast<std::uint64_t>(bound.count())));
}

} // namespace

std::vector<vm_id> select_readers(const member_view& view,
                                  data_centre_id data_centre)
{
    std::vector<std::pair<std::uint64_t, vm_id>> ranked;
    for (const member& each : view.members)
    {
        if (each.data_centre == data_centre && each.may_own_buckets())
        {
            ranked.emplace_back(
                hash_pair(reader_rank_salt ^ data_centre.value, each.id.value),
                each.id);
        }
    }
    std::ranges::sort(ranked, std::ranges::greater());
    ranked.resize(std::min(ranked.size(), readers_per_data_centre));
    std::vector<vm_id> readers;
    readers.reserve(ranked.size());
    for (const auto& [score, id] : ranked)
    {
        readers.push_back(id);
    }
    return readers;
}

bool is_reader(const member_view& view, vm_id self, data_centre_id data_centre)
{
    const auto readers = select_readers(view, data_centre);
    return std::ranges::find(readers, self) != readers.end();
}

duration fallback_delay(vm_id self)
{
    return reader_fallback_delay +
           duration_below(reader_fallback_jitter,
                          hash_pair(reader_rank_salt, self.value));
}

bool should_watch_service(const member_view& view, vm_id self,
                          data_centre_id data_centre,
                          instant last_version_received, instant now)
{
    return is_reader(view, self, data_centre) ||
           now - last_version_received >= fallback_delay(self);
}

duration watch_delay(watch_result result, random_source& random)
{
    return result == watch_result::usable
               ? duration(0)
               : unusable_watch_delay +
                     duration_below(unusable_watch_jitter, random.next());
}

} // namespace catkinkeel
