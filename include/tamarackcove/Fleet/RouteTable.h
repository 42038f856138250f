#pragma once

#include "tamarackcove/Fleet/DeploymentConfiguration.h"
#include "tamarackcove/Fleet/WorkspaceTable.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Finds the route and the workspace of a request in one configuration.
///
/// Thread safety: immutable; may be used from several threads.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const DeploymentConfiguration> configuration);

    /// The route with the longest prefix of the path among those of the host; null when there is none.
    [[nodiscard]] const RouteRule *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const DeploymentConfiguration &configuration() const;
    [[nodiscard]] const WorkspaceTable &workspaces() const;

    /// Chooses a service at random in proportion to the weights of the route. The draw is uniform over [0, 1).
    [[nodiscard]] static const ServiceName &chooseService(const RouteRule &route, double draw);

private:
    std::shared_ptr<const DeploymentConfiguration> m_configuration;
    WorkspaceTable m_workspaces;
    /// Routes by lower-case host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const RouteRule *>> m_routesByHost;
};

} // namespace tamarackcove
