#include "catkinkeel/clock/clock.hpp"

#include <ctime>

namespace catkinkeel
{

instant steady_now()
{
    return instant(std::chrono::steady_clock::now().time_since_epoch());
}

instant boot_now()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

wall_time wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

std::uint64_t wall_nanoseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace catkinkeel
