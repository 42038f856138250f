#pragma once

#include "tamarackcove/Fleet/RouteRule.h"
#include "tamarackcove/Fleet/ServiceProfile.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    milliseconds headerTimeout = seconds(30);
    milliseconds idleTimeout = seconds(60);
};

/// The routes and services of one deployment as the operator has set them.
struct DeploymentConfiguration
{
    /// Set by the operator; the highest version is in force.
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceProfile> services;
    CallerLimits limits;

    [[nodiscard]] const ServiceProfile *find(const ServiceName &name) const;
    /// Why this configuration cannot be in force, as one line for the operator; nothing when it can. Thread safe.
    [[nodiscard]] std::optional<std::string> fault() const;
};

} // namespace tamarackcove
