#pragma once

#include "tamarackcove/Fleet/CrashSuspect.h"
#include "tamarackcove/Fleet/ServerRecord.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace tamarackcove {

/// Puts a configuration in force, unless one of the same or a higher version is in force already.
struct PutConfiguration
{
    std::uint64_t version = 0;
    /// The bytes that the operator sent, so that the configuration is read back unchanged.
    std::string document;
};

/// Sets the newest version of an adapter, or of a base model when the adapter is empty.
struct PutWeightVersion
{
    AdapterKey key;
    std::uint64_t version = 0;
};

/// Records that a server drains (takes no new requests because it will end) or has ended.
struct NoteDeparture
{
    ServerIdentity server;
    ServiceName service;
    /// Whether the server has ended. Otherwise it drains.
    bool gone = false;
    /// Whether `server.startedAt` is set. Otherwise the newest start on record departs, or any start if there is none;
    /// see FleetState::Departure::anyStart.
    bool startKnown = true;
};

/// Makes a control host the holder of the order duty: the role of the one control host that may order servers to load
/// and unload weights.
struct TakeOrderDuty
{
    std::string holder;
    /// Identifies one start of the holder's process.
    std::string boot{};
};

/// Adds a server that has announced itself for the first time, replaces the record of one that has changed, or removes
/// a server that is no longer registered.
struct NoteServer
{
    ServerHeartbeat server;
    /// False to remove the server.
    bool registered = true;
};

/// Quarantines a part of prompts or a request that crashes servers: requests with it are refused.
struct QuarantineSuspect
{
    CrashSuspect suspect;
};

/// Ends a quarantine.
struct ReleaseSuspect
{
    CrashSuspect suspect;
    /// Whether one crash puts the suspect back into quarantine. False if it was quarantined in error.
    bool onProbation = false;
};

using FleetCommand = std::variant<PutConfiguration, PutWeightVersion, NoteDeparture, TakeOrderDuty, NoteServer,
                                  QuarantineSuspect, ReleaseSuspect>;

/// The replicated state of the control hosts: the configuration in force, the newest versions of weights, the servers
/// and their departures, and which control host orders servers. Each replica applies the same commands in the same
/// order.
///
/// Thread safety: used on one thread.
class FleetState
{
public:
    struct Departure
    {
        ServiceName service;
        /// Whether the server has ended. Otherwise it drains.
        bool gone = false;
        /// When the command was appended to the log.
        std::chrono::system_clock::time_point at;
        /// Whether no start of the server was on record, so that a heartbeat of any start may be a delayed one.
        /// Recorded without a start time, and dropped once a start is registered.
        bool anyStart = false;
    };
    /// A server that is not registered any more.
    struct FormerServer
    {
        /// The newest start that was registered.
        Incarnation lastStart;
        /// When it was removed, by the time of the log.
        std::chrono::system_clock::time_point at;
    };
    /// The control host that holds the order duty.
    struct OrderDuty
    {
        std::string holder;
        /// Identifies one start of the holder's process.
        std::string boot{};
        /// Log index of the TakeOrderDuty command, so it is higher for each new holder. Servers refuse orders with a
        /// lower fencing number than the highest they have received.
        FencingNumber fence;
    };
    /// How long a departure is kept, counted from the log time of its command. A server ends a few seconds after it has
    /// announced that it drains, and a delayed heartbeat of it arrives a few seconds later at most.
    static constexpr std::chrono::minutes DepartureRetention{5};
    /// Number of departures, and of former servers, that are kept for longer: the time of the log is that of a leader's
    /// clock, which may be set forward. Departures without a start time are not, since a later start has none either.
    static constexpr std::size_t KeptDepartures = 256;
    /// Largest number of departures, and of former servers, that are kept. Beyond it the oldest is dropped.
    static constexpr std::size_t MaxDepartures = 4096;
    /// How long a suspect stays on probation after its quarantine, counted from the log time of its release.
    static constexpr std::chrono::hours ProbationTime{24};
    /// Largest number of suspects in quarantine, and on probation. Beyond it the oldest is dropped.
    static constexpr std::size_t MaxSuspects = 1024;
    using SuspectTimes = std::map<CrashSuspect, std::chrono::system_clock::time_point>;

    /// Applies the command at this log index. The time is that of the log entry, the same on each replica.
    void apply(std::uint64_t index, std::chrono::system_clock::time_point time, const FleetCommand &command);

    /// The log index of the newest command that changed the state, except NoteServer; 0 before the first. The leader
    /// sends an entry the versions of weights again when the revision is higher than when they were last sent.
    [[nodiscard]] Revision revision() const;
    [[nodiscard]] std::uint64_t configurationVersion() const;
    /// The configuration in force as the operator sent it; null before the first configuration.
    [[nodiscard]] const std::shared_ptr<const std::string> &document() const;
    [[nodiscard]] const std::map<AdapterKey, std::uint64_t> &weightVersions() const;
    [[nodiscard]] const std::map<ServerIdentity, Departure> &departures() const;
    /// Whether the server has ended and has not been registered again since.
    [[nodiscard]] bool hasEnded(const TargetId &id) const;
    [[nodiscard]] const OrderDuty &duty() const;
    /// The suspects in quarantine, with the log time of their commands.
    [[nodiscard]] const SuspectTimes &quarantinedSuspects() const;
    /// The suspects that were released after their quarantine, with the log time of their commands.
    [[nodiscard]] const SuspectTimes &suspectsOnProbation() const;
    /// The servers by id, so that a new leader need not wait for their heartbeats.
    [[nodiscard]] const std::map<TargetId, ServerHeartbeat> &servers() const;

    /// The whole state, for snapshots.
    struct Image
    {
        Revision revision;
        std::uint64_t configurationVersion = 0;
        std::shared_ptr<const std::string> document;
        std::map<AdapterKey, std::uint64_t> weightVersions;
        std::map<ServerIdentity, Departure> departures;
        OrderDuty duty;
        std::map<TargetId, ServerHeartbeat> servers;
        std::map<TargetId, FormerServer> formerServers;
        SuspectTimes quarantinedSuspects;
        SuspectTimes suspectsOnProbation;
    };
    [[nodiscard]] const Image &image() const;
    void restore(Image image);

private:
    void noteDeparture(const NoteDeparture &departure, std::chrono::system_clock::time_point time);
    void noteServer(const NoteServer &noted, std::chrono::system_clock::time_point time);

    Image m_image;
};

} // namespace tamarackcove
