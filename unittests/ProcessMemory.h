#pragma once

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
/// Of the run-time library of the address sanitizer; its header is not in the packages of the compiler.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace tamarackcove::test {

/// The memory of this process in bytes: what is resident; with the address sanitizer, which keeps what was freed, what
/// is allocated.
inline std::size_t processMemory()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    std::size_t allPages = 0;
    std::size_t residentPages = 0;
    std::ifstream("/proc/self/statm") >> allPages >> residentPages;
    return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

/// How far the memory of this process has grown since the construction, at most, as sampled.
///
/// Thread safety: used on one thread.
class MemoryGrowth
{
public:
    void sample()
    {
        m_peak = std::max(m_peak, processMemory());
    }
    [[nodiscard]] std::size_t bytes() const
    {
        return m_peak - m_start;
    }

private:
    std::size_t m_start = processMemory();
    std::size_t m_peak = m_start;
};

} // namespace tamarackcove::test
