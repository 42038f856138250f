#include "tamarackcove/Fleet/WorkspaceTable.h"

#include "tamarackcove/Fleet/Workspace.h"

#include <algorithm>

namespace tamarackcove {

WorkspaceTable::WorkspaceTable(const std::vector<Workspace> &workspaces)
    : m_empty(workspaces.empty())
    , m_hasPriorities(std::any_of(workspaces.begin(), workspaces.end(),
                                  [](const auto &workspace) { return workspace.priority.has_value(); }))
{
    for (const auto &workspace : workspaces) {
        for (const auto &key : workspace.keys) {
            m_byKey.emplace(key, &workspace);
        }
    }
}

const Workspace *WorkspaceTable::find(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

bool WorkspaceTable::empty() const
{
    return m_empty;
}

bool WorkspaceTable::hasPriorities() const
{
    return m_hasPriorities;
}

} // namespace tamarackcove
