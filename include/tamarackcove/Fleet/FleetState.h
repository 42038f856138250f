#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace tamarackcove {

/// Puts a configuration in force unless one of the same or a higher version is.
struct PutConfiguration
{
    std::uint64_t version = 0;
    /// As the operator sent it, so that it is read back unchanged.
    std::string document;
};

/// Names the newest version of an adapter, or of a model when the adapter is empty.
struct PutWeightVersion
{
    AdapterKey key;
    std::uint64_t version = 0;
};

/// A server has said that it leaves.
struct NoteDeparture
{
    ServerIdentity server;
    ServiceName service;
    bool gone = false;
};

/// A control host takes over the orders to servers.
struct TakeOrderDuty
{
    std::string holder;
    /// The start of its process.
    std::string boot{};
};

/// A server has announced itself for the first time, or has been silent for so long that it counts as gone.
struct NoteServer
{
    ServerHeartbeat server;
    bool known = true;
};

using FleetCommand = std::variant<PutConfiguration, PutWeightVersion, NoteDeparture, TakeOrderDuty, NoteServer>;

/// What the control hosts agree on and keep on disk: the configuration in force, versions of weights, departures of
/// servers, and who orders servers. Each replica applies the same commands in the same order.
///
/// Thread safety: used on one thread.
class FleetState
{
public:
    struct Departure
    {
        ServiceName service;
        bool gone = false;
        std::chrono::system_clock::time_point at;
    };
    struct OrderDuty
    {
        std::string holder;
        std::string boot{};
        /// Place of the command in the log, which grows from holder to holder.
        FencingNumber fence;
    };
    /// How long a departure is kept. A server ends some seconds after it has announced that it leaves, and a delayed
    /// heartbeat of it arrives some seconds later at most.
    static constexpr std::chrono::minutes DepartureRetention{5};

    /// Applies the command at this place of the log; the time is the same on each replica.
    void apply(std::uint64_t index, std::chrono::system_clock::time_point time, const FleetCommand &command);

    /// The place in the log of the newest change; 0 before the first.
    [[nodiscard]] Revision revision() const;
    [[nodiscard]] std::uint64_t configurationVersion() const;
    /// Null before the first configuration.
    [[nodiscard]] const std::shared_ptr<const std::string> &document() const;
    [[nodiscard]] const std::map<AdapterKey, std::uint64_t> &weightVersions() const;
    [[nodiscard]] const std::map<ServerIdentity, Departure> &departures() const;
    [[nodiscard]] const OrderDuty &duty() const;
    /// Servers that were known, so that a host that begins to lead need not wait for their heartbeats.
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
    };
    [[nodiscard]] const Image &image() const;
    void restore(Image image);

private:
    Image m_image;
};

} // namespace tamarackcove
