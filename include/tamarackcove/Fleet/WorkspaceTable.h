#pragma once

#include <string>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

struct Workspace;

/// Finds the workspace that holds a key in one configuration.
///
/// Thread safety: immutable; may be used from several threads.
class WorkspaceTable
{
public:
    /// Precondition: the workspaces outlive the table, and no two of them share a key.
    explicit WorkspaceTable(const std::vector<Workspace> &workspaces);

    /// Null when no workspace holds the key.
    [[nodiscard]] const Workspace *find(const std::string &key) const;
    /// Whether the configuration has no workspaces, so that requests need no key.
    [[nodiscard]] bool empty() const;
    /// Whether a workspace has a priority.
    [[nodiscard]] bool hasPriorities() const;

private:
    std::unordered_map<std::string, const Workspace *> m_byKey;
    bool m_empty;
    bool m_hasPriorities;
};

} // namespace tamarackcove
