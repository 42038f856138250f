#include "tamarackcove/Fleet/DeploymentConfiguration.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace tamarackcove {

const ModelProfile *EngineProfile::find(const BaseModel &name) const
{
    const auto found
        = std::find_if(models.begin(), models.end(), [&](const auto &model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

const ServiceProfile *DeploymentConfiguration::find(const ServiceName &name) const
{
    const auto found
        = std::find_if(services.begin(), services.end(), [&](const auto &service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

static std::optional<std::string> routeError(const DeploymentConfiguration &configuration, const RouteRule &route)
{
    const auto prefix = "route \"" + route.name + "\": ";
    if (route.host.empty()) {
        return prefix + "the host must not be empty";
    }
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return prefix + "the path prefix must begin and end with a slash (/)";
    }
    if (route.timeout <= milliseconds(0)) {
        return prefix + "the timeout must be longer than 0 ms";
    }
    if (route.maxServers < 1) {
        return prefix + "the number of attempts must be at least 1";
    }
    std::uint64_t weight = 0;
    for (const auto &share : route.services) {
        if (configuration.find(share.service) == nullptr) {
            return prefix + "the service \"" + share.service.value() + "\" is not defined";
        }
        weight += share.weight;
    }
    if (weight == 0) {
        return prefix + "the weights of the services must add up to more than 0";
    }
    return std::nullopt;
}

/// The message names no key: keys are credentials, and the message is logged.
static std::optional<std::string> workspaceError(const std::vector<Workspace> &workspaces)
{
    std::set<WorkspaceName> names;
    std::set<std::string_view> keys;
    for (const auto &workspace : workspaces) {
        const auto prefix = "workspace \"" + workspace.name.value() + "\": ";
        if (workspace.name.empty() || !names.insert(workspace.name).second) {
            return prefix + "the name must not be empty or belong to two workspaces";
        }
        std::set<std::string_view> ownKeys;
        for (const auto &key : workspace.keys) {
            if (key.empty()) {
                return prefix + "a key must not be empty";
            }
            if (ownKeys.insert(key).second && !keys.insert(key).second) {
                return prefix + "another workspace has the same key";
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> DeploymentConfiguration::validationError() const
{
    if (version == 0) {
        return "the version must be at least 1";
    }
    std::set<ServiceName> names;
    for (const auto &service : services) {
        if (service.name.empty() || !names.insert(service.name).second) {
            return "service \"" + service.name.value() + "\": the name must not be empty or belong to two services";
        }
    }
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const auto &route : routes) {
        if (auto error = routeError(*this, route)) {
            return error;
        }
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second) {
            return "route \"" + route.name + "\": another route has the same host and path prefix";
        }
    }
    return workspaceError(workspaces);
}

} // namespace tamarackcove
