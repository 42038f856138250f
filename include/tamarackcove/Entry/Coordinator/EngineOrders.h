#pragma once

#include "tamarackcove/Base/AdapterRef.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Http/HttpRequest.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// The reply to `GET /v1/state` of an engine.
struct EngineStateReport
{
    struct HeldAdapter
    {
        AdapterRef adapter;
        bool loading = false;
        int running = 0;
    };

    Incarnation incarnation;
    /// The highest fencing number of any order that the engine has received.
    FencingNumber highestFencingNumber;
    std::vector<HeldAdapter> adapters;
};

/// Fencing number, id and deadline that an order carries in its headers. An engine that supports fencing refuses an
/// order whose fencing number is lower than the highest one that it has received.
struct OrderStamp
{
    FencingNumber number;
    /// Unique within the term.
    std::uint64_t id = 0;
    /// How long the order may take to have an effect.
    milliseconds deadline{0};
};

/// Parses the body of a state reply. Adapters whose names are not `name@version` are ignored. Thread safe.
[[nodiscard]] Result<EngineStateReport, std::string> parseEngineState(std::string_view body);

[[nodiscard]] HttpRequest stateRequest();
[[nodiscard]] HttpRequest makeLoadOrder(const AdapterRef &adapter, const std::string &path, const OrderStamp &stamp);
[[nodiscard]] HttpRequest makeUnloadOrder(const AdapterRef &adapter, const OrderStamp &stamp);

} // namespace tamarackcove
