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
    struct Held
    {
        AdapterRef adapter;
        bool loading = false;
        int running = 0;
    };

    Incarnation incarnation;
    /// The highest number of any order that the engine has seen.
    FencingNumber highest;
    std::vector<Held> held;
};

/// What identifies an order and bounds its effect.
struct OrderStamp
{
    FencingNumber number;
    std::uint64_t id = 0;
    milliseconds deadline{0};
};

/// Adapters whose names are not `name@version` are left out. Thread safe.
[[nodiscard]] Result<EngineStateReport, std::string> parseEngineState(std::string_view body);

[[nodiscard]] HttpRequest stateRequest();
[[nodiscard]] HttpRequest loadOrder(const AdapterRef &adapter, const std::string &path, const OrderStamp &stamp);
[[nodiscard]] HttpRequest unloadOrder(const AdapterRef &adapter, const OrderStamp &stamp);

} // namespace tamarackcove
