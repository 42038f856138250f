#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/ZoneOptions.h"
#include "tamarackcove/Membership/ReleaseRound.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace tamarackcove {

struct ReleaseMessage;

/// The eviction handshakes of one coordinator term: asks every entry of the zone, and keeps the view leases of those
/// that do not answer from being renewed.
///
/// Thread safety: used on one thread.
class ReleaseRounds
{
public:
    struct Hooks
    {
        /// Sends to all other entries that can be reached.
        std::function<void(const ReleaseMessage &message)> broadcast;
        /// Asks this entry itself.
        std::function<bool(const TargetId &target, const AdapterRef &adapter)> releaseHere;
    };
    /// Asks the engine how many requests of the adapter run; nothing when it does not answer.
    using ReadRunning = std::function<boost::asio::awaitable<std::optional<int>>()>;

    ReleaseRounds(const ZoneOptions &options, FencingNumber number, TimePoint termStart, Hooks hooks);
    ~ReleaseRounds();

    /// Returns whether no entry uses the adapter on the target and none can start to.
    boost::asio::awaitable<bool> run(TargetId target, AdapterRef adapter, ReadRunning readRunning);
    void onReply(const EntryId &from, std::uint64_t round, bool released);

    /// Whether a heartbeat to this entry may renew its view lease; when it does, the time counts as the last renewal.
    bool renewView(const EntryId &entry, TimePoint now);

private:
    struct Active;

    [[nodiscard]] TimePoint viewLeaseEnd(const EntryId &entry) const;

    const ZoneOptions &m_options;
    FencingNumber m_number;
    TimePoint m_termStart;
    Hooks m_hooks;
    std::set<EntryId> m_entries;
    std::map<EntryId, TimePoint> m_renewedAt;
    std::map<std::uint64_t, Active *> m_active;
    std::uint64_t m_lastRound = 0;
};

} // namespace tamarackcove
