#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// The adapters that each server has held most recently. A server keeps copies of them in memory and loads them much
/// faster, but does not report them. Every entry keeps this history, so that a control host that becomes leader can ask
/// for it.
///
/// Thread safety: used on one thread.
class AdapterHistory
{
public:
    /// Keeps at most this number of adapters for each server and removes the least recent beyond it.
    explicit AdapterHistory(std::size_t maxPerServer);

    /// Records that the server holds the adapter now. Removes the adapters of an earlier start of the server.
    void recordHeld(const ServerIdentity &server, const AdapterKey &adapter);
    /// Removes the history of a server.
    void forget(const TargetId &server);

    struct Record
    {
        ServerIdentity server;
        /// Ordered by when the server last held them, the least recent first.
        std::vector<AdapterKey> adapters;
    };
    [[nodiscard]] std::vector<Record> records() const;

private:
    struct Server
    {
        ServerIdentity identity;
        /// The least recent first.
        std::list<AdapterKey> byRecency;
        std::unordered_map<AdapterKey, std::list<AdapterKey>::iterator> positions;
    };

    std::size_t m_maxPerServer;
    std::map<TargetId, Server> m_servers;
};

} // namespace tamarackcove
