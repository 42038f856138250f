#include "tamarackcove/Control/Watchers/EntryCalls.h"

#include "tamarackcove/Consensus/ReplicaOptions.h"
#include "tamarackcove/Control/State/CommandCodec.h"
#include "tamarackcove/Control/State/ReplicatedState.h"
#include "tamarackcove/Control/Watchers/LeaderState.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/ControlMessages.h"

namespace asio = boost::asio;

namespace tamarackcove {

EntryCalls::EntryCalls(ControlParts parts)
    : m_parts(parts)
{
}

static Message refusal(std::string code, std::string detail)
{
    return toMessage(RefusedMessage{.code = std::move(code), .detail = std::move(detail)});
}

static Message refusal(const LogError &error)
{
    switch (error.code) {
    case LogErrorCode::NotLeader:
        return refusal("not_leader", error.detail);
    case LogErrorCode::Unavailable:
        return refusal("unavailable", error.detail);
    case LogErrorCode::OutcomeUnknown:
        break;
    }
    return refusal("outcome_unknown", error.detail);
}

static const char *outcomeText(CallDecision decision)
{
    switch (decision) {
    case CallDecision::Granted:
        return "granted";
    case CallDecision::Completed:
        return "completed";
    case CallDecision::InDoubt:
        return "in_doubt";
    case CallDecision::KeyReused:
        return "key_reused";
    case CallDecision::Full:
        break;
    }
    return "full";
}

static Result<Command, WireError> toCommand(const Message &message)
{
    if (message.type == ReserveCallMessage::Type) {
        BOOST_OUTCOME_TRY(auto call, fromMessage<ReserveCallMessage>(message));
        return Command(ReserveCall{.key = std::move(call.key),
                                   .digest = call.digest,
                                   .entry = EntryId(std::move(call.entry)),
                                   .attempt = RequestId(std::move(call.attempt))});
    }
    if (message.type == CompleteCallMessage::Type) {
        BOOST_OUTCOME_TRY(auto call, fromMessage<CompleteCallMessage>(message));
        return Command(CompleteCall{.key = std::move(call.key),
                                    .entry = EntryId(std::move(call.entry)),
                                    .status = call.status,
                                    .contentType = std::move(call.contentType),
                                    .body = std::move(call.body)});
    }
    if (message.type == ReleaseCallMessage::Type) {
        BOOST_OUTCOME_TRY(auto call, fromMessage<ReleaseCallMessage>(message));
        return Command(ReleaseCall{.key = std::move(call.key), .entry = EntryId(std::move(call.entry))});
    }
    if (message.type == CrashReportMessage::Type) {
        BOOST_OUTCOME_TRY(auto report, fromMessage<CrashReportMessage>(message));
        return Command(ReportCrash{.target = TargetId(std::move(report.target)),
                                   .incarnation = Incarnation(report.incarnation),
                                   .fingerprints = std::move(report.fingerprints)});
    }
    if (message.type == CrashClearedMessage::Type) {
        BOOST_OUTCOME_TRY(const auto report, fromMessage<CrashClearedMessage>(message));
        return Command(ClearSuspect{.fingerprint = report.fingerprint});
    }
    return WireError{WireErrorCode::UnexpectedMessage, "unknown message type " + message.type};
}

asio::awaitable<Message> EntryCalls::answer(Message message)
{
    m_parts.metrics.count("entry_calls_total{type=\"" + message.type + "\"}");
    if (message.type == PermitRequestMessage::Type) {
        auto request = fromMessage<PermitRequestMessage>(message);
        if (request.has_error()) {
            co_return refusal("refused", request.error().detail);
        }
        co_return co_await answerPermit(std::move(request).value());
    }
    if (message.type == ZoneVoteMessage::Type) {
        auto request = fromMessage<ZoneVoteMessage>(message);
        if (request.has_error()) {
            co_return refusal("refused", request.error().detail);
        }
        co_return co_await answerVote(std::move(request).value());
    }
    if (message.type == ZoneReportMessage::Type) {
        auto report = fromMessage<ZoneReportMessage>(message);
        if (report.has_error()) {
            co_return refusal("refused", report.error().detail);
        }
        auto &body = report.value();
        LeaderState::ZoneReport zoneReport{.coordinator = EntryId(body.coordinator),
                                           .fencing = FencingNumber(body.fencing),
                                           .receivedAt = Clock::now(),
                                           .targets = std::move(body.targets)};
        m_parts.leaderState.recordReport(Zone(body.zone), std::move(zoneReport));
        co_return toMessage(DoneMessage{});
    }
    auto command = toCommand(message);
    if (command.has_error()) {
        co_return refusal("refused", command.error().detail);
    }
    co_return co_await answerCommand(std::move(command).value());
}

asio::awaitable<Message> EntryCalls::answerCommand(Command command)
{
    auto bytes = encodeCommand(command);
    if (bytes.size() > MaxCommandBytes) {
        co_return refusal("refused",
                          "the call has " + std::to_string(bytes.size())
                              + " bytes, more than a command of the log may have");
    }
    const bool isReservation = std::holds_alternative<ReserveCall>(command);
    const auto applied = co_await m_parts.log.propose(std::move(bytes));
    if (applied.has_error()) {
        co_return refusal(applied.error());
    }
    if (!isReservation) {
        co_return toMessage(DoneMessage{.done = decodeAppliedAnswer(applied.value())});
    }
    auto reservationAnswer = decodeReservationAnswer(applied.value());
    ReservationMessage reply;
    reply.outcome = outcomeText(reservationAnswer.decision);
    reply.status = reservationAnswer.status;
    reply.contentType = std::move(reservationAnswer.contentType);
    reply.body = std::move(reservationAnswer.body);
    co_return toMessage(reply);
}

asio::awaitable<Result<void, LogError>> EntryCalls::confirmLeadership()
{
    auto barrier = co_await m_parts.log.readBarrier();
    if (barrier.has_error()) {
        m_parts.leaderState.leaveTerm();
        co_return std::move(barrier).error();
    }
    const auto now = Clock::now();
    m_parts.leaderState.enterTerm(now, m_parts.log.status().term);
    const auto &store = m_parts.state.state().servingConfiguration().store;
    const auto &limits = m_parts.leaderState.budget().limits();
    if (store.loadsPerSecond != limits.loadsPerSecond || store.concurrentLoads != limits.concurrentLoads) {
        m_parts.leaderState.budget().setLimits(
            {.loadsPerSecond = store.loadsPerSecond, .concurrentLoads = store.concurrentLoads});
    }
    co_return ok();
}

asio::awaitable<Message> EntryCalls::answerPermit(PermitRequestMessage request)
{
    const auto leadership = co_await confirmLeadership();
    if (leadership.has_error()) {
        co_return refusal(leadership.error());
    }
    PermitRequest permitRequest;
    permitRequest.zone = Zone(request.zone);
    permitRequest.fencing = FencingNumber(request.fencing);
    permitRequest.wanted = {.loadsPerSecond = request.loadsPerSecond, .concurrentLoads = request.concurrentLoads};
    permitRequest.held = {.loadsPerSecond = request.heldLoadsPerSecond, .concurrentLoads = request.heldConcurrentLoads};
    permitRequest.inFlight = request.inFlight;
    permitRequest.received = {.term = request.stampTerm, .number = request.stampNumber};
    const auto permit = m_parts.leaderState.budget().answerRequest(Clock::now(), permitRequest);
    if (!permit) {
        co_return refusal("refused",
                          "zone " + request.zone
                              + " is not in the settings of the control host, or a coordinator with a higher fencing "
                                "number has asked");
    }
    PermitMessage reply;
    reply.loadsPerSecond = permit->permittedLimits.loadsPerSecond;
    reply.concurrentLoads = permit->permittedLimits.concurrentLoads;
    reply.validFor = permit->validFor;
    reply.stampTerm = permit->stamp.term;
    reply.stampNumber = permit->stamp.number;
    reply.quotaLoadsPerSecond = permit->quota.loadsPerSecond;
    reply.quotaConcurrentLoads = permit->quota.concurrentLoads;
    co_return toMessage(reply);
}

asio::awaitable<Message> EntryCalls::answerVote(ZoneVoteMessage request)
{
    const auto leadership = co_await confirmLeadership();
    if (leadership.has_error()) {
        co_return refusal(leadership.error());
    }
    const Zone zone(request.zone);
    const EntryId candidate(request.candidate);
    const FencingNumber number(request.fencing);
    const auto recordedVote = [&] {
        const auto &votes = m_parts.state.state().contents().zoneVotes;
        const auto found = votes.find(zone);
        return found == votes.end() ? ConfigurationState::ZoneVote{} : found->second;
    };
    const auto recorded = recordedVote();
    const auto decision = m_parts.leaderState.votes().decideVote(Clock::now(), zone, candidate, number, request.lease,
                                                                 recorded.number, recorded.candidate);
    ZoneVoteAnswerMessage reply;
    reply.granted = decision != ZoneVotes::Decision::Refuse;
    if (decision == ZoneVotes::Decision::Record) {
        const RecordVote vote{.zone = zone, .candidate = candidate, .number = number};
        const auto applied = co_await m_parts.log.propose(encodeCommand(Command(vote)));
        if (applied.has_error()) {
            co_return refusal(applied.error());
        }
        reply.granted = decodeAppliedAnswer(applied.value());
    }
    reply.highest = recordedVote().number.value();
    co_return toMessage(reply);
}

} // namespace tamarackcove
