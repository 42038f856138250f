#include "tamarackcove/Fleet/ServerDirectory.h"

#include <algorithm>

namespace tamarackcove {

/// The part of the memory of a server that entries fill. The rest is for requests that other entries have sent since
/// the last report, and for those that generate more than estimated.
static constexpr double UsableMemory = 0.85;

void ServerDirectory::setMemory(const ServiceName &service, double tokens)
{
    if (tokens > 0) {
        m_memory[service] = tokens;
    } else {
        m_memory.erase(service);
    }
}

void ServerDirectory::setMemoryInUse(const TargetId &id, double tokens)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.othersMemory = std::max(0.0, tokens - found->second.ownMemory);
    }
}

void ServerDirectory::reserveMemory(const TargetId &id, double tokens)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.ownMemory += tokens;
    }
}

void ServerDirectory::releaseMemory(const TargetId &id, double tokens)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.ownMemory = std::max(0.0, found->second.ownMemory - tokens);
    }
}

double ServerDirectory::reservedMemory(const TargetId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? 0 : found->second.ownMemory;
}

bool ServerDirectory::fitsIntoMemory(const ServiceName &service, double tokens) const
{
    const auto memory = m_memory.find(service);
    return !hasManyEntries() || memory == m_memory.end() || tokens <= memory->second * UsableMemory;
}

bool ServerDirectory::hasMemory(const Server &server, const Requirements &requirements) const
{
    return fitsIntoMemory(requirements.service, server.ownMemory + server.othersMemory + requirements.memoryTokens);
}

} // namespace tamarackcove
