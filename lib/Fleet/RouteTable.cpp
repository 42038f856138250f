#include "tamarackcove/Fleet/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace tamarackcove {

static std::string normalisedHost(std::string_view host)
{
    std::string lower(host.substr(0, host.find(':')));
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

RouteTable::RouteTable(std::shared_ptr<const DeploymentConfiguration> configuration)
    : m_configuration(std::move(configuration))
    , m_workspaces(m_configuration->workspaces)
{
    for (const auto &route : m_configuration->routes) {
        m_routesByHost[normalisedHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::sort(routes.begin(), routes.end(),
                  [](const auto *a, const auto *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

const RouteRule *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(normalisedHost(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const auto *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix) {
            return route;
        }
    }
    return nullptr;
}

const DeploymentConfiguration &RouteTable::configuration() const
{
    return *m_configuration;
}

const WorkspaceTable &RouteTable::workspaces() const
{
    return m_workspaces;
}

const ServiceName &RouteTable::chooseService(const RouteRule &route, double draw)
{
    assert(!route.services.empty() && "a valid route has at least one service");
    double total = 0;
    for (const auto &share : route.services) {
        total += share.weight;
    }
    double remaining = draw * total;
    for (const auto &share : route.services) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace tamarackcove
