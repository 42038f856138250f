#include "tamarackcove/Fleet/ServerDirectory.h"

#include <algorithm>
#include <utility>

namespace tamarackcove {

/// Time for which the statements of a server are kept. A server that is leaving has ended by then.
static constexpr std::chrono::minutes StatementLifetime{10};

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
        const auto ownMemory = server.ownMemory;
        server = Server{};
        server.inFlight = inFlight;
        server.ownMemory = ownMemory;
        if (const auto stated = m_statements.find(offered.identity); stated != m_statements.end()) {
            server.leaving = stated->second.leaving;
            server.pausedUntil = stated->second.pausedUntil;
        }
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

void ServerDirectory::forgetExpiredStatements(TimePoint now)
{
    std::erase_if(m_statements, [now](const auto &item) { return item.second.statedAt + StatementLifetime < now; });
}

bool ServerDirectory::recordLeaving(const ServerIdentity &server, TimePoint now)
{
    forgetExpiredStatements(now);
    return noteLeaving(server, now);
}

void ServerDirectory::recordDepartures(const std::vector<ServerIdentity> &servers, TimePoint now)
{
    if (servers.empty()) {
        return;
    }
    forgetExpiredStatements(now);
    for (const auto &server : servers) {
        noteLeaving(server, now);
    }
}

bool ServerDirectory::noteLeaving(const ServerIdentity &server, TimePoint now)
{
    auto &statement = m_statements[server];
    statement.statedAt = now;
    const bool isNew = !std::exchange(statement.leaving, true);
    const auto found = m_servers.find(server.id);
    if (found != m_servers.end() && found->second.offered.identity == server) {
        found->second.leaving = true;
    }
    return isNew;
}

std::vector<OfferedServer> ServerDirectory::unannouncedLeaving() const
{
    std::vector<OfferedServer> all;
    for (const auto &[id, server] : m_servers) {
        if (server.leaving && !server.offered.draining) {
            all.push_back(server.offered);
        }
    }
    return all;
}

milliseconds ServerDirectory::pause(const ServerIdentity &server, milliseconds time, TimePoint now)
{
    forgetExpiredStatements(now);
    auto kept = std::clamp(time, milliseconds(0), m_options.maxPause);
    const auto spread = std::min(duration_cast<milliseconds>(kept * m_options.pauseSpread), m_options.maxPauseSpread);
    kept += milliseconds(std::uniform_int_distribution<milliseconds::rep>(0, spread.count())(m_random));
    auto &statement = m_statements[server];
    statement.statedAt = now;
    statement.pausedUntil = std::max(statement.pausedUntil, now + kept);
    const auto found = m_servers.find(server.id);
    if (found != m_servers.end() && found->second.offered.identity == server) {
        found->second.pausedUntil = statement.pausedUntil;
    }
    return kept;
}

bool ServerDirectory::suits(const Server &server, const Requirements &requirements)
{
    const auto &offered = server.offered;
    return offered.service == requirements.service && !offered.draining && !server.leaving
        && !requirements.excluded.contains(offered.identity.id)
        && (!requirements.model
            || std::find(offered.models.begin(), offered.models.end(), *requirements.model) != offered.models.end());
}

std::optional<TimePoint> ServerDirectory::earliestReturn(const Requirements &requirements, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, server] : m_servers) {
        if (server.pausedUntil > now && suits(server, requirements)) {
            earliest = std::min(earliest.value_or(server.pausedUntil), server.pausedUntil);
        }
    }
    return earliest;
}

int ServerDirectory::pausedHolders(const Requirements &requirements, TimePoint now) const
{
    if (!requirements.adapter) {
        return 0;
    }
    return static_cast<int>(std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &item) {
        const auto &server = item.second;
        return server.pausedUntil > now && server.holdings.contains(*requirements.adapter)
            && suits(server, requirements);
    }));
}

bool ServerDirectory::unreachable(const Server &server, TimePoint now)
{
    constexpr int MinConsecutiveFailures = 2;
    return server.consecutiveFailures >= MinConsecutiveFailures && server.avoidUntil > now;
}

bool ServerDirectory::hasStatedLeaving(const ServerIdentity &server) const
{
    const auto stated = m_statements.find(server);
    return stated != m_statements.end() && stated->second.leaving;
}

bool ServerDirectory::isDeparting(const ServerIdentity &server) const
{
    const auto found = m_servers.find(server.id);
    return hasStatedLeaving(server)
        || (found != m_servers.end() && found->second.offered.identity == server && found->second.offered.draining);
}

bool ServerDirectory::isGone(const ServerIdentity &server) const
{
    if (hasStatedLeaving(server)) {
        return false;
    }
    const auto found = m_servers.find(server.id);
    return found == m_servers.end() || found->second.offered.identity != server;
}

bool ServerDirectory::seemsEnded(const ServerIdentity &server, TimePoint now) const
{
    if (hasStatedLeaving(server)) {
        return false;
    }
    const auto found = m_servers.find(server.id);
    return found == m_servers.end() || found->second.offered.identity != server
        || (!found->second.offered.draining && unreachable(found->second, now));
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

bool ServerDirectory::offers(const ServiceName &service, const std::optional<BaseModel> &model) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &item) { return suits(item.second, {.service = service, .model = model}); });
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
        server.estimate.recordFull(now);
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

bool ServerDirectory::slotsInUse(const TargetId &id) const
{
    const auto found = m_servers.find(id);
    return found != m_servers.end()
        && found->second.inFlight + found->second.estimate.lastReport() >= found->second.offered.slots;
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

void ServerDirectory::setLoad(const TargetId &id, double load, TimePoint reportedAt)
{
    m_loadsReportedAt = std::max(m_loadsReportedAt.value_or(reportedAt), reportedAt);
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        auto &server = found->second;
        server.estimate.setReport(std::max(0.0, load - server.inFlight), reportedAt);
    }
}

void ServerDirectory::setEntryCount(std::size_t entries)
{
    m_entryCount = entries;
}

bool ServerDirectory::hasManyEntries() const
{
    return m_entryCount >= m_options.manyEntries;
}

} // namespace tamarackcove
