#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace tamarackcove {

// Messages between entries. Frequent messages are encoded as arrays without field names, which halves their size.

/// The first message that each side sends on a new connection.
struct HelloMessage
{
    static constexpr const char *Type = "hello";
    std::string entry;
    std::string zone;
    /// A random number of the sending process; peers use it to distinguish the process from an earlier process of the
    /// same entry.
    std::uint64_t session = 0;
    /// The coordinator of the sender's zone; empty while the sender may not dispatch.
    std::string coordinator;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HelloMessage, entry, zone, session, coordinator)

/// Heartbeat. From the zone coordinator it also renews the view lease of the receiver.
struct HeartbeatMessage
{
    static constexpr const char *Type = "beat";
    /// The sequence number of this heartbeat on the link.
    std::uint64_t sequence = 0;
    /// The sequence number of the last heartbeat that the sender received on the link.
    std::uint64_t echo = 0;
    /// The fencing number of the coordinator whose view the sender follows.
    std::uint64_t number = 0;
    /// The sender is this coordinator and renews the view lease: the receiver may dispatch for the length of a view
    /// lease after it sent the heartbeat `echo`.
    bool renewsView = false;
    /// The newest configuration revision that the sender holds.
    std::uint64_t heldRevision = 0;
    /// Entries of the zone from which the sender has received nothing for ZoneOptions::linkReceiveTimeout.
    std::vector<std::string> silent;
    /// Triples of target index, running requests and waiting requests, for the targets that announced themselves to the
    /// sender.
    std::vector<std::uint32_t> loads;
};
void to_json(nlohmann::json &json, const HeartbeatMessage &message);
void from_json(const nlohmann::json &json, HeartbeatMessage &message);

/// Asks for a vote in the election of the zone coordinator, or gives back a granted vote. The candidate is the sender.
struct VoteMessage
{
    static constexpr const char *Type = "vote";
    std::uint64_t round = 0;
    /// The session of the candidate's process.
    std::uint64_t session = 0;
    /// The fencing number that the candidate wants to hold the lease under.
    std::uint64_t number = 0;
    std::int64_t leaseMs = 0;
    /// Gives back the vote that was granted for this number. The voter sends no reply.
    bool release = false;
    /// Set only with `release`: the candidate never held the zone lease under this number.
    bool leaseNeverHeld = false;
};
void to_json(nlohmann::json &json, const VoteMessage &message);
void from_json(const nlohmann::json &json, VoteMessage &message);

/// The voter's answer to a VoteMessage that asks for a vote.
struct VoteReplyMessage
{
    static constexpr const char *Type = "vote_reply";
    std::uint64_t round = 0;
    bool granted = false;
    /// The highest fencing number that the voter has granted.
    std::uint64_t highest = 0;
    /// Pairs of target and adapter that the voter has released to a previous coordinator and whose eviction may still
    /// be in progress. Set only in the first grant of a number.
    std::vector<std::pair<std::string, std::string>> released;
    /// Whether the voter process has run for long enough that `released` contains all releases whose eviction may still
    /// be in progress.
    bool complete = false;
};
void to_json(nlohmann::json &json, const VoteReplyMessage &message);
void from_json(const nlohmann::json &json, VoteReplyMessage &message);

/// A target in a ViewMessage: index, id, host, port, kind, service, base model, incarnation, fencing, health, slots,
/// batch, running, waiting, adapters with their residency state.
using WireTarget = std::tuple<std::uint32_t, std::string, std::string, std::uint16_t, int, std::string, std::string,
                              std::uint64_t, int, int, int, int, int, int, std::vector<std::pair<std::string, int>>>;

/// The view of the zone or changes of it; sent by the zone coordinator.
struct ViewMessage
{
    static constexpr const char *Type = "view";
    static constexpr int Absent = -1;

    /// The fencing number of the coordinator.
    std::uint64_t number = 0;
    /// The message starts a whole view: the receiver clears its view before it applies the message.
    bool full = false;
    std::vector<WireTarget> targets;
    /// Indexes of the targets that are removed from the view.
    std::vector<std::uint32_t> gone;
    /// Target index and new health.
    std::vector<std::pair<std::uint32_t, int>> health;
    /// Target index, adapter, and new residency state, or Absent.
    std::vector<std::tuple<std::uint32_t, std::string, int>> residency;
    /// Other zone, adapter, and whether the adapter is resident in this zone.
    std::vector<std::tuple<std::string, std::string, bool>> remote;
    /// Other zones with their entries that the coordinator considers alive. An empty list means that the zone cannot be
    /// reached.
    std::vector<std::pair<std::string, std::vector<std::string>>> zones;

    [[nodiscard]] bool empty() const;
};
void to_json(nlohmann::json &json, const ViewMessage &message);
void from_json(const nlohmann::json &json, ViewMessage &message);

/// The demand for one adapter: adapter, waiting requests, highest priority, oldest wait in ms, arrivals.
using WireDemand = std::tuple<std::string, int, int, std::int64_t, int>;

/// Tells the coordinator which adapters requests wait for.
struct DemandMessage
{
    static constexpr const char *Type = "demand";
    std::vector<WireDemand> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandMessage, items)

/// Asks an entry to start no more requests with an adapter on a target, so that the adapter can be evicted. `round`
/// identifies the release request and its answers; `number` is the fencing number of the coordinator that sends the
/// message.
struct ReleaseMessage
{
    static constexpr const char *Type = "release";
    std::uint64_t round = 0;
    std::uint64_t number = 0;
    std::string target;
    std::string adapter;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseMessage, round, number, target, adapter)

/// The answer of an entry to a ReleaseMessage.
struct ReleaseReplyMessage
{
    static constexpr const char *Type = "release_reply";
    std::uint64_t round = 0;
    /// False when requests of the entry use the adapter, or when the release request comes from an earlier coordinator.
    bool released = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseReplyMessage, round, released)

/// The announcement of a target, forwarded to the coordinator in the JSON form in which the target sent it.
struct AnnounceMessage
{
    static constexpr const char *Type = "announce";
    nlohmann::json announcement;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnounceMessage, announcement)

/// Tells the coordinator that a target refused or dropped connections.
struct UnreachableTargetMessage
{
    static constexpr const char *Type = "broken";
    std::string target;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UnreachableTargetMessage, target)

/// Tells the entries of the zone that a target crashed with these request fingerprints in flight.
struct CrashMessage
{
    static constexpr const char *Type = "crash_report";
    std::string target;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> fingerprints;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashMessage, target, incarnation, fingerprints)

/// Tells the entries of the zone which configuration revision the sender holds.
struct HeldRevisionMessage
{
    static constexpr const char *Type = "config_hold";
    std::uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeldRevisionMessage, revision)

/// Asks a peer for the configuration that it holds. The peer answers with ConfigPartMessages, whatever `revision` is.
struct ConfigFetchMessage
{
    static constexpr const char *Type = "config_fetch";
    std::uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigFetchMessage, revision)

/// One part of a configuration. A whole configuration may be longer than the largest frame.
struct ConfigPartMessage
{
    static constexpr const char *Type = "config_part";
    std::uint64_t revision = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    std::string bytes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigPartMessage, revision, part, parts, bytes)

/// The adapters that became resident or absent in a zone; sent by its coordinator to the coordinator of another zone.
struct ZoneSummaryMessage
{
    static constexpr const char *Type = "zone_summary";
    /// The fencing number of the sending coordinator.
    std::uint64_t number = 0;
    /// `resident` lists all adapters of the zone; the receiver forgets the earlier ones.
    bool full = false;
    std::vector<std::string> resident;
    std::vector<std::string> absent;
    /// Entries of the zone that its coordinator considers alive.
    std::vector<std::string> entries;
    /// Empty adapter slots on the engines of the zone.
    int freeSlots = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneSummaryMessage, number, full, resident, absent, entries, freeSlots)

} // namespace tamarackcove
