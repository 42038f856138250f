#include "tamarackcove/Fleet/AdapterHistory.h"

#include <iterator>

namespace tamarackcove {

AdapterHistory::AdapterHistory(std::size_t maxPerServer)
    : m_maxPerServer(maxPerServer)
{
}

void AdapterHistory::recordHeld(const ServerIdentity &identity, const AdapterKey &adapter)
{
    auto &server = m_servers[identity.id];
    if (server.identity != identity) {
        server = Server{};
        server.identity = identity;
    }
    const auto found = server.positions.find(adapter);
    if (found != server.positions.end()) {
        server.leastRecentFirst.splice(server.leastRecentFirst.end(), server.leastRecentFirst, found->second);
        return;
    }
    server.leastRecentFirst.push_back(adapter);
    server.positions.emplace(adapter, std::prev(server.leastRecentFirst.end()));
    if (server.leastRecentFirst.size() > m_maxPerServer) {
        server.positions.erase(server.leastRecentFirst.front());
        server.leastRecentFirst.pop_front();
    }
}

void AdapterHistory::forget(const TargetId &server)
{
    m_servers.erase(server);
}

std::vector<AdapterHistory::Record> AdapterHistory::records() const
{
    std::vector<Record> all;
    all.reserve(m_servers.size());
    for (const auto &[id, server] : m_servers) {
        all.push_back(
            {.server = server.identity, .adapters = {server.leastRecentFirst.begin(), server.leastRecentFirst.end()}});
    }
    return all;
}

} // namespace tamarackcove
