#include "tamarackcove/Fleet/ServerDirectory.h"

#include <algorithm>

namespace tamarackcove {

ServerDirectory::ServerDirectory(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void ServerDirectory::put(OfferedServer offered)
{
    auto &server = m_servers[offered.identity.id];
    if (server.offered.identity != offered.identity) {
        // Discards the state of the earlier start, except for its requests that have not ended yet.
        const auto inFlight = server.inFlight;
        server = Server{};
        server.inFlight = inFlight;
    }
    server.offered = std::move(offered);
}

void ServerDirectory::remove(const TargetId &id)
{
    m_servers.erase(id);
}

void ServerDirectory::keepOnly(const std::set<TargetId> &ids)
{
    std::erase_if(m_servers, [&](const auto &item) { return !ids.contains(item.first); });
}

void ServerDirectory::setHolding(const TargetId &id, const AdapterKey &adapter, std::uint64_t version,
                                 TimePoint readyAt)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    if (version == 0) {
        found->second.holdings.erase(adapter);
        return;
    }
    found->second.holdings[adapter] = {.version = version, .readyAt = readyAt, .expectedAt = readyAt};
}

void ServerDirectory::clearHoldings(const TargetId &id)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.holdings.clear();
    }
}

void ServerDirectory::postpone(const TargetId &id, const AdapterKey &adapter, TimePoint until)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    const auto held = found->second.holdings.find(adapter);
    if (held != found->second.holdings.end()) {
        held->second.readyAt = std::max(held->second.readyAt, until);
    }
}

double ServerDirectory::load(const Server &server) const
{
    const double zonePenalty = server.offered.zone == m_options.zone ? 0 : m_options.otherZonePenalty;
    return (server.inFlight + server.otherEntriesLoad + zonePenalty) / std::max(1, server.offered.slots);
}

bool ServerDirectory::unreachable(const Server &server, TimePoint now)
{
    constexpr int MinConsecutiveFailures = 2;
    return server.consecutiveFailures >= MinConsecutiveFailures && server.avoidUntil > now;
}

std::vector<TargetId> ServerDirectory::unreachable(TimePoint now) const
{
    std::vector<TargetId> ids;
    for (const auto &[id, server] : m_servers) {
        if (unreachable(server, now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<ServerDirectory::Choice> ServerDirectory::choose(const Requirements &requirements, TimePoint now)
{
    struct Candidate
    {
        const Server *server = nullptr;
        const Holding *holding = nullptr;
        /// Lower is better: 1 is added while the adapter is loading on the server, 2 while the server is avoided.
        int rank = 0;
        double load = 0;
    };
    std::optional<Candidate> best;
    std::uniform_real_distribution<double> tieBreak(0, 0.01);
    for (const auto &[id, server] : m_servers) {
        if (server.offered.service != requirements.service || server.offered.draining
            || requirements.excluded.contains(id)) {
            continue;
        }
        if (requirements.model
            && std::find(server.offered.models.begin(), server.offered.models.end(), *requirements.model)
                == server.offered.models.end()) {
            continue;
        }
        Candidate candidate{.server = &server};
        if (requirements.adapter) {
            const auto held = server.holdings.find(*requirements.adapter);
            // An unreachable server has most likely crashed, so it is no candidate. If no candidate is left, the entry
            // asks the control host to load the adapter on another server.
            if (held == server.holdings.end() || held->second.version < requirements.minVersion
                || unreachable(server, now)) {
                continue;
            }
            candidate.holding = &held->second;
            candidate.rank += held->second.readyAt > now ? 1 : 0;
        }
        candidate.rank += server.avoidUntil > now ? 2 : 0;
        candidate.load = load(server) + tieBreak(m_random);
        if (!best || std::pair(candidate.rank, candidate.load) < std::pair(best->rank, best->load)) {
            best = candidate;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const auto &offered = best->server->offered;
    Choice choice{.server = offered.identity,
                  .endpoint = offered.endpoint,
                  .zone = offered.zone,
                  .avoided = best->server->avoidUntil > now};
    if (best->holding != nullptr) {
        choice.version = best->holding->version;
        choice.readyAt = best->holding->readyAt;
        choice.expectedAt = best->holding->expectedAt;
    }
    return choice;
}

bool ServerDirectory::offers(const ServiceName &service, const std::optional<BaseModel> &model) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &item) {
        const auto &offered = item.second.offered;
        return offered.service == service && !offered.draining
            && (!model || std::find(offered.models.begin(), offered.models.end(), *model) != offered.models.end());
    });
}

void ServerDirectory::startRequest(const TargetId &id, double weight)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.inFlight += weight;
    }
}

void ServerDirectory::endRequest(const TargetId &id, double weight, ServerOutcome outcome, TimePoint now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    auto &server = found->second;
    server.inFlight = std::max(0.0, server.inFlight - weight);
    switch (outcome) {
    case ServerOutcome::Served:
        server.consecutiveFailures = 0;
        server.avoidUntil = {};
        return;
    case ServerOutcome::Full:
        server.avoidUntil = std::max(server.avoidUntil, now + m_options.firstAvoidance / 4);
        return;
    case ServerOutcome::Broken:
    case ServerOutcome::NoAnswer: {
        const auto avoidance = m_options.firstAvoidance * (1 << std::min(server.consecutiveFailures, 4));
        server.avoidUntil = std::max(server.avoidUntil, now + std::min(avoidance, m_options.maxAvoidance));
        ++server.consecutiveFailures;
        return;
    }
    case ServerOutcome::WrongServer:
    case ServerOutcome::Failed:
    case ServerOutcome::Unrelated:
        return;
    }
}

std::optional<ServerIdentity> ServerDirectory::identityOf(const TargetId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? std::nullopt : std::optional(found->second.offered.identity);
}

std::size_t ServerDirectory::size() const
{
    return m_servers.size();
}

std::vector<OfferedServer> ServerDirectory::offered() const
{
    std::vector<OfferedServer> all;
    all.reserve(m_servers.size());
    for (const auto &[id, server] : m_servers) {
        all.push_back(server.offered);
    }
    return all;
}

std::vector<std::pair<TargetId, double>> ServerDirectory::inFlight() const
{
    std::vector<std::pair<TargetId, double>> all;
    for (const auto &[id, server] : m_servers) {
        if (server.inFlight > 0) {
            all.emplace_back(id, server.inFlight);
        }
    }
    return all;
}

void ServerDirectory::setLoad(const TargetId &id, double load)
{
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.otherEntriesLoad = std::max(0.0, load - found->second.inFlight);
    }
}

} // namespace tamarackcove
