#pragma once

#include "tamarackcove/Fleet/ServerDirectory.h"

#include <utility>

namespace tamarackcove {

/// Counts the tokens of one request in the memory of a server for as long as the object exists, also when the coroutine
/// of the request is destroyed while it waits.
///
/// Thread safety: used on the thread of the directory. Precondition: the directory outlives this object.
class MemoryReservation
{
public:
    MemoryReservation(ServerDirectory &servers, TargetId server, double tokens)
        : m_servers(servers)
        , m_server(std::move(server))
        , m_tokens(tokens)
    {
        m_servers.reserveMemory(m_server, m_tokens);
    }
    ~MemoryReservation()
    {
        m_servers.releaseMemory(m_server, m_tokens);
    }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

private:
    ServerDirectory &m_servers;
    TargetId m_server;
    double m_tokens;
};

} // namespace tamarackcove
