#include "tamarackcove/Http/MemoryBudget.h"

#include "tamarackcove/Http/MemoryAccount.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace tamarackcove {

/// Parts of the memory of a process. The other half is for the process itself and for the answers of servers, which
/// have a budget of their own.
static constexpr std::size_t BytesDivisor = 4;
static constexpr std::size_t ConnectionsDivisor = 4;
/// Each connection of a caller can need another one to a server.
static constexpr std::size_t DescriptorsPerConnection = 2;

MemoryBudget::Limits MemoryBudget::limitsFor(std::optional<std::size_t> memoryBytes,
                                             std::optional<std::size_t> maxDescriptors)
{
    Limits limits;
    if (memoryBytes) {
        limits.bytes = *memoryBytes / BytesDivisor;
        limits.connectionBytes = *memoryBytes / ConnectionsDivisor;
        limits.connections = std::min(limits.connections, limits.connectionBytes / ConnectionBytes);
        limits.boundsSockets = true;
    }
    if (maxDescriptors) {
        limits.connections = std::min(limits.connections, *maxDescriptors / DescriptorsPerConnection);
    }
    limits.connections = std::max<std::size_t>(limits.connections, 1);
    return limits;
}

MemoryBudget::Limits MemoryBudget::limitsForProbes()
{
    constexpr std::size_t MaxBytes = 1024 * 1024;
    constexpr std::size_t MaxConnections = 32;
    return {.bytes = MaxBytes,
            .connections = MaxConnections,
            .connectionBytes = MaxConnections * RunningConnectionBytes,
            .boundsSockets = true};
}

MemoryBudget::MemoryBudget(Limits limits)
    : m_limits(limits)
{
}

const MemoryBudget::Limits &MemoryBudget::limits() const
{
    return m_limits;
}

std::size_t MemoryBudget::bytes() const
{
    return m_bytes;
}

std::size_t MemoryBudget::connectionBytes() const
{
    return m_connectionBytes;
}

std::size_t MemoryBudget::connections() const
{
    return m_accounts.size();
}

const MemoryBudget::Counts &MemoryBudget::counts() const
{
    return m_counts;
}

bool MemoryBudget::makeRoomForBytes(MemoryAccount &account, std::size_t added)
{
    const auto wanted = account.bytes() + added;
    // Sizes count as similar within a factor of two: of many bodies that stop at different points before their end, the
    // oldest is to go, not the one that is still growing.
    const auto precedes = [&](const MemoryAccount *a, const MemoryAccount *b) {
        const auto sizeOf = [&](const MemoryAccount *one) {
            return std::bit_width(one == &account ? wanted : one->bytes());
        };
        return std::pair(sizeOf(a), b->since()) > std::pair(sizeOf(b), a->since());
    };
    while (m_bytes + added > m_limits.bytes) {
        MemoryAccount *next = nullptr;
        for (auto *candidate : m_accounts) {
            const bool holdsBytes = candidate == &account || candidate->bytes() > 0;
            if (holdsBytes && candidate->canBeShed() && (next == nullptr || precedes(candidate, next))) {
                next = candidate;
            }
        }
        if (next == nullptr || next == &account) {
            ++m_counts.bytesRefused;
            return false;
        }
        next->shedBytes();
    }
    return true;
}

bool MemoryBudget::makeRoomForConnection(const MemoryAccount &account, std::size_t connections, std::size_t bytes)
{
    while (m_accounts.size() + connections > m_limits.connections
           || m_connectionBytes + bytes > m_limits.connectionBytes) {
        MemoryAccount *oldest = nullptr;
        for (auto *candidate : m_accounts) {
            if (candidate != &account && candidate->canBeShed()
                && (oldest == nullptr || candidate->since() < oldest->since())) {
                oldest = candidate;
            }
        }
        if (oldest == nullptr) {
            ++m_counts.connectionsRefused;
            return false;
        }
        oldest->shedConnection();
    }
    return true;
}

} // namespace tamarackcove
