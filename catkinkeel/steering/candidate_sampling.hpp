#pragma once

// Draws which of many targets are compared for a new flow. It works on
// positions in a sequence whose first part is the group of nearby targets, and
// depends on neither targets nor clocks.
//
// Example:
//   sampler.begin({.nearby = 1500, .others = 22500});
//   for (const std::uint32_t position : sampler.draw(random)) { ... }

#include "catkinkeel/base/random.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace catkinkeel::steering
{

/// Maximum number of targets that are compared in full for one new flow. If a
/// service has more, they are sampled.
inline constexpr std::size_t max_candidates = 256;

/// Positions of one draw from each group. Those of the other group let a flow
/// leave nearby targets that are overloaded.
inline constexpr std::size_t nearby_sample_size = 48;
inline constexpr std::size_t other_sample_size = 16;

/// Sizes of the two groups. The positions of the nearby group are 0 to
/// `nearby` - 1, those of the other group follow.
struct group_sizes
{
    std::size_t nearby = 0;
    std::size_t others = 0;

    friend auto operator<=>(const group_sizes&, const group_sizes&) = default;
};

/// Draws distinct positions, each subset of a group with the same probability.
/// Reuses its buffers. Not thread-safe.
class candidate_sampler
{
public:
    /// Begins with two groups of which nothing is drawn.
    void begin(const group_sizes& sizes);

    /// Returns up to 64 positions that have not been returned since `begin`.
    /// Positions that one group lacks are drawn from the other. The result is
    /// valid until the next call.
    std::span<const std::uint32_t> draw(random_source& random);

    /// Number of positions drawn from each group since `begin`.
    [[nodiscard]] group_sizes drawn() const
    {
        return {nearby_.size(), others_.size()};
    }

private:
    /// The positions drawn from one group, relative to its first one,
    /// ascending.
    using drawn_positions = std::vector<std::uint32_t>;

    /// Draws `count` positions of a group of `size`, of which at least `count`
    /// are left. Its cost depends on how many are drawn, not on the size.
    void draw_from(drawn_positions& drawn, std::size_t size,
                   std::size_t first_position, std::size_t count,
                   random_source& random);

    group_sizes sizes_;
    drawn_positions nearby_;
    drawn_positions others_;
    std::vector<std::uint32_t> positions_;
};

} // namespace catkinkeel::steering
