#pragma once

#include "tamarackcove/Fleet/RouteRule.h"
#include "tamarackcove/Fleet/ServiceProfile.h"
#include "tamarackcove/Fleet/Workspace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// Limits on the size of a caller's request and on the time that a connection of a caller may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    /// Time limit for receiving the whole head of a request.
    milliseconds headerTimeout = seconds(30);
    /// Time limit for a connection without a request in progress.
    milliseconds idleTimeout = seconds(60);
};

/// The routes, services and workspaces of one deployment, as set by the operator.
struct DeploymentConfiguration
{
    /// Set by the operator; the highest version is in force.
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceProfile> services;
    /// Empty if requests need no key.
    std::vector<Workspace> workspaces;
    CallerLimits limits;

    /// Null when no service has this name.
    [[nodiscard]] const ServiceProfile *find(const ServiceName &name) const;
    /// The first error that keeps this configuration from being in force, as one line for the operator; nothing when
    /// the configuration is valid. Thread safe.
    [[nodiscard]] std::optional<std::string> validationError() const;
};

} // namespace tamarackcove
