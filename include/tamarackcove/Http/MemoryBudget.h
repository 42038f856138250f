#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace tamarackcove {

class MemoryAccount;

/// The memory and the connections that clients may make a process hold, shared by all its HTTP servers. Each connection
/// has a MemoryAccount. When the budget is short, the accounts that no running request needs are shed: for memory those
/// with the most bytes first, of those of similar size the oldest; for connections the oldest.
///
/// Thread safety: used on one thread.
class MemoryBudget
{
public:
    /// What a connection without a request in progress takes at most besides a large body: the head or a small body,
    /// and the state of the connection.
    static constexpr std::size_t ConnectionBytes = 24 * 1024;
    /// What a connection with a request in progress takes at most besides a large body. The receive buffer of the
    /// kernel is not read meanwhile and may be full.
    static constexpr std::size_t RunningConnectionBytes = 88 * 1024;
    /// Requested size of the buffers of the kernel for one direction of a connection. Linux doubles it for its own
    /// bookkeeping. With 6 ms to a caller and back it carries more than the link of an entry.
    static constexpr std::size_t SocketBufferBytes = 32 * 1024;
    /// Limit on the connections that wait to be accepted. What they have sent takes memory before it is counted.
    static constexpr int ListenBacklog = 256;
    /// Bytes of a body that are part of ConnectionBytes, so that a small request is read whatever others hold.
    static constexpr std::size_t SmallBodyBytes = 16 * 1024;

    struct Limits
    {
        /// Limit on the bodies of requests and on what callers have not read of their answers.
        std::size_t bytes = 128 * 1024 * 1024;
        std::size_t connections = 4096;
        /// Limit on what connections take besides large bodies.
        std::size_t connectionBytes = 4096 * RunningConnectionBytes;
        /// Whether the buffers of the kernel are bounded by SocketBufferBytes and ListenBacklog.
        bool boundsSockets = false;
    };

    /// What was shed or refused since the start of the process.
    struct Counts
    {
        std::uint64_t bodiesShed = 0;
        std::uint64_t answersShed = 0;
        std::uint64_t connectionsShed = 0;
        std::uint64_t bytesRefused = 0;
        std::uint64_t connectionsRefused = 0;
    };

    /// The limits of a process that may take this much memory and this many descriptors; without a value, the default
    /// of that limit. Thread safe.
    [[nodiscard]] static Limits limitsFor(std::optional<std::size_t> memoryBytes,
                                          std::optional<std::size_t> maxDescriptors);

    /// The limits of a server for probes of readiness and metrics. It has a budget of its own, so that it answers while
    /// callers use up theirs. Thread safe.
    [[nodiscard]] static Limits limitsForProbes();

    explicit MemoryBudget(Limits limits);
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    [[nodiscard]] const Limits &limits() const;
    /// The bytes that all accounts hold.
    [[nodiscard]] std::size_t bytes() const;
    /// What connections take at most besides large bodies.
    [[nodiscard]] std::size_t connectionBytes() const;
    /// The number of open accounts.
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] const Counts &counts() const;

private:
    friend class MemoryAccount;

    /// Sheds accounts until `added` further bytes of `account` are within the limit. Returns false if they cannot be,
    /// or if `account` itself is the next one to be shed.
    bool makeRoomForBytes(MemoryAccount &account, std::size_t added);
    /// Sheds the oldest accounts other than `account` until so many further connections and bytes for them are within
    /// the limits. Returns false if they cannot be.
    bool makeRoomForConnection(const MemoryAccount &account, std::size_t connections, std::size_t bytes);

    const Limits m_limits;
    std::size_t m_bytes = 0;
    std::size_t m_connectionBytes = 0;
    std::set<MemoryAccount *> m_accounts;
    Counts m_counts;
};

} // namespace tamarackcove
