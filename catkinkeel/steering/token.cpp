#include "catkinkeel/steering/token.hpp"

#include <xxhash.h>

namespace catkinkeel::steering
{

flow_token token_of(std::string_view target_name)
{
    const std::uint64_t hash =
        XXH64(target_name.data(), target_name.size(), /*seed=*/0);
    const auto folded = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
    return {folded == no_token.value ? 1U : folded};
}

} // namespace catkinkeel::steering
