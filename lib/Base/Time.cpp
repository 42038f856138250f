#include "tamarackcove/Base/Time.h"

#include <ctime>

namespace tamarackcove {

Clock::time_point Clock::now() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace tamarackcove
