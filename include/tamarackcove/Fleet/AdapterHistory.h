#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// The adapters that each server has held most recently. A server keeps copies of these adapters in memory after it has
/// unloaded them, and loads them again much faster than from the store, but does not report the copies. Every entry
/// keeps this history, so that a control host that becomes leader can ask an entry for it.
///
/// Thread safety: used on one thread.
class AdapterHistory
{
public:
    /// Keeps at most `maxPerServer` adapters for each server. When a further adapter is added, the one that the server
    /// has held least recently is removed.
    explicit AdapterHistory(std::size_t maxPerServer);

    /// Records that the server holds the adapter now. If the record of the server belongs to an earlier start of it,
    /// that record is removed first.
    void recordHeld(const ServerIdentity &server, const AdapterKey &adapter);
    /// Removes the history of a server.
    void forget(const TargetId &server);

    struct Record
    {
        ServerIdentity server;
        /// Adapters that the server has held, the least recently held first.
        std::vector<AdapterKey> adapters;
    };
    [[nodiscard]] std::vector<Record> records() const;

private:
    struct Server
    {
        ServerIdentity identity;
        /// Adapters of the server, the least recently held first.
        std::list<AdapterKey> leastRecentFirst;
        std::unordered_map<AdapterKey, std::list<AdapterKey>::iterator> positions;
    };

    std::size_t m_maxPerServer;
    std::map<TargetId, Server> m_servers;
};

} // namespace tamarackcove
