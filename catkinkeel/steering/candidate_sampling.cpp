#include "catkinkeel/steering/candidate_sampling.hpp"

#include <algorithm>

namespace catkinkeel::steering
{

void candidate_sampler::begin(const group_sizes& sizes)
{
    sizes_ = sizes;
    nearby_.clear();
    others_.clear();
}

std::span<const std::uint32_t> candidate_sampler::draw(random_source& random)
{
    const std::size_t nearby_left = sizes_.nearby - nearby_.size();
    const std::size_t others_left = sizes_.others - others_.size();
    const std::size_t total = nearby_sample_size + other_sample_size;
    const std::size_t others = std::min(
        others_left, total - std::min(nearby_left, nearby_sample_size));
    const std::size_t nearby = std::min(nearby_left, total - others);
    positions_.clear();
    draw_from(nearby_, sizes_.nearby, 0, nearby, random);
    draw_from(others_, sizes_.others, sizes_.nearby, others, random);
    return positions_;
}

void candidate_sampler::draw_from(drawn_positions& drawn, std::size_t size,
                                  std::size_t first_position, std::size_t count,
                                  random_source& random)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        // A random one of the positions left: the drawn ones up to it are
        // skipped.
        auto position =
            static_cast<std::uint32_t>(random.below(size - drawn.size()));
        auto next = drawn.begin();
        for (; next != drawn.end() && *next <= position; ++next)
        {
            ++position;
        }
        drawn.insert(next, position);
        positions_.push_back(static_cast<std::uint32_t>(first_position) +
                             position);
    }
}

} // namespace catkinkeel::steering
