#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// Longest id of a server, and longest name of a service, zone, base model or adapter. Messages to entries, which have
/// a maximum size, hold them many times.
inline constexpr std::size_t MaxNameBytes = 128;

/// Whether a name is not empty, not longer than MaxNameBytes and without control characters. Thread safe.
[[nodiscard]] bool isValidName(std::string_view name);

/// Identifies an adapter of a base model, in any version.
struct AdapterKey
{
    BaseModel model;
    std::string adapter;

    auto operator<=>(const AdapterKey &) const = default;
};

/// Identifies one start of a server. A server that restarts keeps its id and has another start time.
struct ServerIdentity
{
    TargetId id;
    /// Start time of the server as Unix time in milliseconds; 0 when the server does not report it.
    Incarnation startedAt;

    auto operator<=>(const ServerIdentity &) const = default;
};

/// A base model that a server holds, with its loaded adapters.
struct HeldModel
{
    struct HeldAdapter
    {
        std::string adapter;
        std::uint64_t version = 0;
    };
    BaseModel name;
    std::uint64_t version = 0;
    std::vector<HeldAdapter> adapters;
};

/// The state that a server announces in a heartbeat.
struct ServerHeartbeat
{
    ServerIdentity identity;
    ServiceName service;
    Endpoint endpoint;
    Zone zone;
    /// Requests that the server runs at the same time.
    int slots = 0;
    bool draining = false;
    /// Time from this heartbeat until the server ends; absent unless the server has stated when it ends.
    std::optional<milliseconds> remaining;
    /// Time for which the server remains slow after its start.
    milliseconds warmUp{0};
    /// Increases with each heartbeat that the server sends after one start.
    std::uint64_t sequence = 0;
    std::vector<HeldModel> models;
    /// Adapters of which the server keeps a copy in memory.
    std::vector<AdapterKey> cachedAdapters;

    /// Why this cannot be the state of a server that requests are sent to, as one line; nothing if it can. Thread safe.
    [[nodiscard]] std::optional<std::string> validationError() const;
};

/// The state of a server, as it answers a state request of the control host.
struct ServerReport
{
    Incarnation startedAt;
    std::vector<HeldModel> models;
    /// Adapters that the server is loading, with their versions.
    std::vector<std::pair<AdapterKey, std::uint64_t>> pending;
    /// Whether a base model is being loaded or unloaded.
    bool busy = false;
    /// Orders that the server has accepted after its start.
    std::uint64_t ordersAccepted = 0;
    /// Number of requests that wait in the server.
    int queued = 0;
    /// Number of requests that the server runs.
    int running = 0;

    /// Why this cannot be the state of a server, as one line; nothing if it can. Thread safe.
    [[nodiscard]] std::optional<std::string> validationError() const;
};

} // namespace tamarackcove

template<>
struct std::hash<tamarackcove::AdapterKey>
{
    std::size_t operator()(const tamarackcove::AdapterKey &key) const noexcept
    {
        const auto model = std::hash<tamarackcove::BaseModel>()(key.model);
        return model * 31 + std::hash<std::string>()(key.adapter);
    }
};
