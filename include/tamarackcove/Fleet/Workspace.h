#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Fleet/WorkspaceAllowance.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

using WorkspaceName = StringId<struct WorkspaceTag>;

/// A customer that shares the deployment with others. Its requests carry one of its keys.
struct Workspace
{
    WorkspaceName name;
    /// Credentials. They leave the entry neither in requests to servers nor in logs, metrics or reports.
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    std::optional<int> priority;
    /// Absent if the workspace may use any amount.
    std::optional<WorkspaceAllowance> allowance;
};

} // namespace tamarackcove
