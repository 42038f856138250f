#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// An adapter of a base model, without a version.
struct AdapterKey
{
    BaseModel model;
    std::string adapter;

    auto operator<=>(const AdapterKey &) const = default;
};

/// One start of one server. A server that starts again under its name has another start time.
struct ServerIdentity
{
    TargetId id;
    /// Unix milliseconds; 0 when the server does not say.
    Incarnation startedAt;

    auto operator<=>(const ServerIdentity &) const = default;
};

/// A base model and the adapters that a server holds of it.
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

/// What a server says of itself in a heartbeat.
struct ServerHeartbeat
{
    ServerIdentity identity;
    ServiceName service;
    Endpoint endpoint;
    Zone zone;
    int slots = 0;
    bool draining = false;
    /// Absent unless the server will end at a fixed time.
    std::optional<milliseconds> remaining;
    /// How much longer it is slow after its start.
    milliseconds warmUp{0};
    /// Increases with each heartbeat of one start.
    std::uint64_t sequence = 0;
    std::vector<HeldModel> models;
    /// Adapters of which the server keeps a copy in memory.
    std::vector<AdapterKey> cachedAdapters;
};

/// What a server answers when it is asked for its state.
struct ServerReport
{
    Incarnation startedAt;
    std::vector<HeldModel> models;
    /// Adapters on their way to the server.
    std::vector<std::pair<AdapterKey, std::uint64_t>> pending;
    /// A model is being loaded or unloaded.
    bool busy = false;
    /// Orders that the server has accepted since its start.
    std::uint64_t ordersAccepted = 0;
    int queued = 0;
    int running = 0;
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
