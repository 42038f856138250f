#include "tamarackcove/Control/Fleet/FleetControl.h"

#include "tamarackcove/Consensus/ReplicaOptions.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Control/LogStatus.h"
#include "tamarackcove/Observe/LogLine.h"

#include <fmt/format.h>

namespace asio = boost::asio;

namespace tamarackcove {

FleetControl::FleetControl(LogClient log, const FleetState &state, ServerRegistry &registry, Hooks hooks)
    : m_log(std::move(log))
    , m_state(state)
    , m_registry(registry)
    , m_hooks(std::move(hooks))
{
}

FleetControl::Refusal FleetControl::toRefusal(const LogError &error)
{
    Refusal refusal{.detail = error.detail, .leader = error.leader};
    switch (error.code) {
    case LogErrorCode::NotLeader:
        refusal.code = error.leader ? RefusalCode::NotLeader : RefusalCode::Unavailable;
        break;
    case LogErrorCode::Unavailable:
        refusal.code = RefusalCode::Unavailable;
        break;
    case LogErrorCode::OutcomeUnknown:
        refusal.code = RefusalCode::OutcomeUnknown;
        break;
    }
    return refusal;
}

asio::awaitable<Result<void, FleetControl::Refusal>> FleetControl::propose(FleetCommand command)
{
    auto bytes = encodeFleetCommand(command);
    if (bytes.size() > MaxCommandBytes) {
        co_return Refusal{.code = RefusalCode::TooLarge,
                          .detail = fmt::format("the command has {} bytes, more than the {} bytes that the log accepts",
                                                bytes.size(), MaxCommandBytes),
                          .leader = std::nullopt};
    }
    const auto answer = co_await m_log.propose(std::move(bytes));
    if (answer.has_error()) {
        co_return toRefusal(answer.error());
    }
    co_return ok();
}

Result<void, FleetControl::Refusal> FleetControl::requireLeader() const
{
    const auto status = m_log.status();
    if (status.role == "leader") {
        return ok();
    }
    if (!status.leader) {
        return Refusal{.code = RefusalCode::Unavailable, .detail = "no leader is known", .leader = std::nullopt};
    }
    return Refusal{.code = RefusalCode::NotLeader, .detail = "another host is the leader", .leader = status.leader};
}

asio::awaitable<Result<void, FleetControl::Refusal>> FleetControl::putConfiguration(std::string document)
{
    const auto read = m_hooks.readConfiguration(document);
    std::optional<std::string> validationError;
    if (read.has_error()) {
        validationError = read.error();
    } else {
        validationError = read.value().validationError();
    }
    if (validationError) {
        LogLine(LogLevel::Warning, "configuration_refused").add("reason", *validationError);
        co_return Refusal{.code = RefusalCode::Invalid, .detail = *validationError, .leader = std::nullopt};
    }
    const auto version = read.value().version;
    // A version that is not higher than the one in force on this host is answered without a proposal. The read barrier
    // before the answer confirms that a majority has the version in force.
    if (version <= m_state.configurationVersion()) {
        const auto barrier = co_await m_log.readBarrier();
        if (barrier.has_error()) {
            co_return toRefusal(barrier.error());
        }
        if (version <= m_state.configurationVersion()) {
            LogLine(LogLevel::Info, "configuration_overtaken")
                .add("version", version)
                .add("in_force", m_state.configurationVersion());
            co_return ok();
        }
    }
    FleetCommand command = PutConfiguration{.version = version, .document = std::move(document)};
    auto accepted = co_await propose(std::move(command));
    if (accepted.has_value()) {
        LogLine(LogLevel::Info, "configuration_accepted").add("version", version);
    }
    co_return accepted;
}

asio::awaitable<Result<std::string, FleetControl::Refusal>> FleetControl::readConfiguration()
{
    const auto barrier = co_await m_log.readBarrier();
    if (barrier.has_error()) {
        co_return toRefusal(barrier.error());
    }
    if (!m_state.document()) {
        co_return Refusal{
            .code = RefusalCode::Unavailable, .detail = "there is no configuration yet", .leader = std::nullopt};
    }
    co_return *m_state.document();
}

asio::awaitable<Result<void, FleetControl::Refusal>> FleetControl::putWeightVersion(PutWeightVersion version)
{
    const bool validAdapter = version.key.adapter.empty() || isValidName(version.key.adapter);
    if (!isValidName(version.key.model.value()) || !validAdapter || version.version == 0) {
        co_return Refusal{.code = RefusalCode::Invalid,
                          .detail = fmt::format("a version of at least 1 and names of at most {} printable bytes are "
                                                "required",
                                                MaxNameBytes),
                          .leader = std::nullopt};
    }
    LogLine(LogLevel::Info, "weight_version_named")
        .add("model", version.key.model.value())
        .add("adapter", version.key.adapter)
        .add("version", version.version);
    FleetCommand command = std::move(version);
    co_return co_await propose(std::move(command));
}

asio::awaitable<Result<void, FleetControl::Refusal>> FleetControl::heartbeat(ServerHeartbeat heartbeat)
{
    if (const auto invalid = heartbeat.validationError()) {
        LogLine(LogLevel::Warning, "heartbeat_refused").add("reason", *invalid);
        co_return Refusal{.code = RefusalCode::Invalid, .detail = *invalid, .leader = std::nullopt};
    }
    BOOST_OUTCOME_CO_TRY(requireLeader());
    const auto verdict = m_registry.heartbeat(heartbeat, Clock::now());
    const auto identity = heartbeat.identity;
    if (verdict == ServerRegistry::HeartbeatResult::Changed) {
        LogLine(LogLevel::Info, "server_changed")
            .add("server", identity.id.value())
            .add("started_at", identity.startedAt.value())
            .add("service", heartbeat.service.value())
            .add("endpoint", heartbeat.endpoint.toString())
            .add("zone", heartbeat.zone.value())
            .add("sequence", heartbeat.sequence);
    }
    if (verdict != ServerRegistry::HeartbeatResult::Outdated) {
        m_hooks.onHeartbeat(heartbeat);
        m_hooks.onServersChanged();
    }
    if (verdict != ServerRegistry::HeartbeatResult::Departing) {
        co_return ok();
    }
    LogLine(LogLevel::Info, "server_draining")
        .add("server", identity.id.value())
        .add("remaining_ms", heartbeat.remaining.value_or(milliseconds(-1)));
    FleetCommand command = NoteDeparture{.server = identity, .service = heartbeat.service, .gone = false};
    co_return co_await propose(std::move(command));
}

asio::awaitable<Result<void, FleetControl::Refusal>> FleetControl::deregister(TargetId id)
{
    BOOST_OUTCOME_CO_TRY(requireLeader());
    const auto *server = m_registry.find(id);
    if (server == nullptr) {
        // A host that is not yet, or no longer, confirmed as leader has no servers in its registry.
        const auto barrier = co_await m_log.readBarrier();
        if (barrier.has_error()) {
            co_return toRefusal(barrier.error());
        }
        server = m_registry.find(id);
    }
    if (server == nullptr && (!isValidName(id.value()) || m_state.hasEnded(id))) {
        // No server has such a name, or its departure is recorded.
        co_return ok();
    }
    LogLine(LogLevel::Info, "server_leaves")
        .add("server", id.value())
        .add("registered", server != nullptr ? "yes" : "no");
    NoteDeparture departure{.server = {.id = id, .startedAt = {}}, .service = {}, .gone = true, .startKnown = false};
    if (server != nullptr) {
        departure.server = server->lastHeartbeat.identity;
        departure.service = server->lastHeartbeat.service;
        departure.startKnown = true;
        m_registry.applyDeparture(departure.server, true);
        m_hooks.onServersChanged();
    }
    const bool wasRegistered = departure.startKnown;
    FleetCommand command = std::move(departure);
    auto recorded = co_await propose(std::move(command));
    if (recorded.has_error() || wasRegistered) {
        co_return recorded;
    }
    // A delayed heartbeat that has arrived meanwhile has registered the server.
    const auto *late = m_registry.find(id);
    if (late == nullptr || late->draining) {
        co_return ok();
    }
    co_return co_await deregister(std::move(id));
}

} // namespace tamarackcove
