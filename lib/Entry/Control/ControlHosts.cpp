#include "tamarackcove/Entry/Control/ControlHosts.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

ControlHosts::ControlHosts(std::vector<Endpoint> hosts)
{
    m_hosts.reserve(hosts.size());
    for (auto &endpoint : hosts) {
        m_hosts.push_back({.endpoint = std::move(endpoint), .lastHeardAt = TimePoint::min()});
    }
}

std::size_t ControlHosts::count() const
{
    return m_hosts.size();
}

const Endpoint &ControlHosts::endpoint(std::size_t host) const
{
    return m_hosts.at(host).endpoint;
}

void ControlHosts::recordStatus(std::size_t host, bool leads, std::uint64_t term, TimePoint now)
{
    auto &status = m_hosts.at(host);
    status.leads = leads;
    status.term = term;
    status.lastHeardAt = now;
}

void ControlHosts::recordFailure(std::size_t host)
{
    m_hosts.at(host).leads = false;
}

std::optional<std::size_t> ControlHosts::leader() const
{
    std::optional<std::size_t> best;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (m_hosts[host].leads && (!best || m_hosts[host].term > m_hosts[*best].term)) {
            best = host;
        }
    }
    return best;
}

std::size_t ControlHosts::selectNext()
{
    m_lastTriedHost = leader().value_or((m_lastTriedHost + 1) % m_hosts.size());
    return m_lastTriedHost;
}

bool ControlHosts::leaderHeardSince(TimePoint since) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(),
                       [since](const Host &host) { return host.leads && host.lastHeardAt >= since; });
}

} // namespace tamarackcove
