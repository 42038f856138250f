#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace tamarackcove {

// Messages between entries. Those that are sent all the time are arrays without field names, which halves their size.

/// The first message of either side.
struct HelloMessage
{
    static constexpr const char *Type = "hello";
    std::string entry;
    std::string zone;
    /// Differs between two processes of one entry.
    std::uint64_t session = 0;
    /// The coordinator of the sender's zone as the sender knows it; empty when there is none.
    std::string coordinator;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HelloMessage, entry, zone, session, coordinator)

/// Heartbeat. From the zone coordinator it also renews the view lease of the receiver.
struct BeatMessage
{
    static constexpr const char *Type = "beat";
    std::uint64_t beat = 0;
    /// The last beat that was received on this link.
    std::uint64_t echo = 0;
    /// The fencing number of the coordinator whose view the sender follows.
    std::uint64_t number = 0;
    /// The sender is that coordinator, and the receiver may dispatch for a view lease after it sent `echo`.
    bool renewsView = false;
    std::uint64_t heldRevision = 0;
    /// Entries of the zone whose links to the sender are silent.
    std::vector<std::string> silent;
    /// Triples of target index, running and waiting for targets that announced themselves to the sender.
    std::vector<std::uint32_t> loads;
};
void to_json(nlohmann::json &json, const BeatMessage &message);
void from_json(const nlohmann::json &json, BeatMessage &message);

struct VoteMessage
{
    static constexpr const char *Type = "vote";
    std::uint64_t round = 0;
    /// The candidate is the sender.
    std::uint64_t session = 0;
    std::uint64_t number = 0;
    std::int64_t leaseMs = 0;
    /// Gives the promise back; there is no reply.
    bool release = false;
    /// Of a release: the lease was never held under this number.
    bool neverUsed = false;
};
void to_json(nlohmann::json &json, const VoteMessage &message);
void from_json(const nlohmann::json &json, VoteMessage &message);

struct VoteReplyMessage
{
    static constexpr const char *Type = "vote_reply";
    std::uint64_t round = 0;
    bool granted = false;
    std::uint64_t highest = 0;
    /// What the voter has released and may still be evicted: target and adapter. Only in the first grant of a number.
    std::vector<std::pair<std::string, std::string>> released;
    /// Whether the voter runs for long enough to know all of it.
    bool complete = false;
};
void to_json(nlohmann::json &json, const VoteReplyMessage &message);
void from_json(const nlohmann::json &json, VoteReplyMessage &message);

/// index, id, host, port, kind, service, base model, incarnation, fencing, health, slots, batch, running, waiting,
/// adapters with their residency state
using WireTarget = std::tuple<std::uint32_t, std::string, std::string, std::uint16_t, int, std::string, std::string,
                              std::uint64_t, int, int, int, int, int, int, std::vector<std::pair<std::string, int>>>;

/// Changes of the view of the zone; sent by its coordinator.
struct ViewMessage
{
    static constexpr const char *Type = "view";
    static constexpr int Absent = -1;

    std::uint64_t number = 0;
    /// The receiver forgets what it knew before it applies the changes.
    bool full = false;
    std::vector<WireTarget> targets;
    std::vector<std::uint32_t> gone;
    /// Target index and health.
    std::vector<std::pair<std::uint32_t, int>> health;
    /// Target index, adapter, and residency state or Absent.
    std::vector<std::tuple<std::uint32_t, std::string, int>> residency;
    /// Zone, adapter, whether it is resident there.
    std::vector<std::tuple<std::string, std::string, bool>> remote;
    /// Other zones with the entries that are believed alive there; none means that the zone cannot be reached.
    std::vector<std::pair<std::string, std::vector<std::string>>> zones;

    [[nodiscard]] bool empty() const;
};
void to_json(nlohmann::json &json, const ViewMessage &message);
void from_json(const nlohmann::json &json, ViewMessage &message);

/// adapter, waiting, highest priority, oldest wait in ms, arrivals
using WireDemand = std::tuple<std::string, int, int, std::int64_t, int>;

struct DemandMessage
{
    static constexpr const char *Type = "demand";
    std::vector<WireDemand> items;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandMessage, items)

/// Asks an entry to release an adapter on a target.
struct ReleaseMessage
{
    static constexpr const char *Type = "release";
    std::uint64_t round = 0;
    std::uint64_t number = 0;
    std::string target;
    std::string adapter;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseMessage, round, number, target, adapter)

struct ReleaseReplyMessage
{
    static constexpr const char *Type = "release_reply";
    std::uint64_t round = 0;
    /// False when requests of the entry use the adapter.
    bool released = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReleaseReplyMessage, round, released)

/// An announcement that an entry forwards to the coordinator, in the form in which targets send it.
struct AnnounceMessage
{
    static constexpr const char *Type = "announce";
    nlohmann::json announcement;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnounceMessage, announcement)

struct BrokenMessage
{
    static constexpr const char *Type = "broken";
    std::string target;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BrokenMessage, target)

struct CrashMessage
{
    static constexpr const char *Type = "crash_report";
    std::string target;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> fingerprints;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashMessage, target, incarnation, fingerprints)

struct ConfigHoldMessage
{
    static constexpr const char *Type = "config_hold";
    std::uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigHoldMessage, revision)

struct ConfigFetchMessage
{
    static constexpr const char *Type = "config_fetch";
    std::uint64_t revision = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigFetchMessage, revision)

/// A part of a configuration, because a whole one may be longer than a frame.
struct ConfigPartMessage
{
    static constexpr const char *Type = "config_part";
    std::uint64_t revision = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    std::string bytes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigPartMessage, revision, part, parts, bytes)

/// Changes of what a zone holds; between the coordinators of two zones.
struct ZoneSummaryMessage
{
    static constexpr const char *Type = "zone_summary";
    std::uint64_t number = 0;
    bool full = false;
    std::vector<std::string> resident;
    std::vector<std::string> absent;
    /// Entries of the zone that are believed alive.
    std::vector<std::string> entries;
    /// Adapter slots without an adapter.
    int freeSlots = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneSummaryMessage, number, full, resident, absent, entries, freeSlots)

} // namespace tamarackcove
