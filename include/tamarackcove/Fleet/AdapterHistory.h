#pragma once

#include "tamarackcove/Fleet/ServerRecord.h"

#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace tamarackcove {

/// Which adapters servers have held lately. Servers load these much faster, but do not name them; every entry keeps the
/// record, so that a control host that begins to lead can ask for it.
///
/// Thread safety: used on one thread.
class AdapterHistory
{
public:
    /// Adapters are forgotten beyond this number per server, the least recent first.
    explicit AdapterHistory(std::size_t mostPerServer);

    /// The server holds the adapter now. What an earlier start of it has held is forgotten.
    void held(const ServerIdentity &server, const AdapterKey &adapter);
    void forget(const TargetId &server);

    struct Record
    {
        ServerIdentity server;
        /// The least recent first.
        std::vector<AdapterKey> adapters;
    };
    [[nodiscard]] std::vector<Record> records() const;

private:
    struct Server
    {
        ServerIdentity identity;
        std::list<AdapterKey> order;
        std::unordered_map<AdapterKey, std::list<AdapterKey>::iterator> places;
    };

    std::size_t m_most;
    std::map<TargetId, Server> m_servers;
};

} // namespace tamarackcove
