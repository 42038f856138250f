#include "ControlLinkImpl.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/ControlMessages.h"

namespace asio = boost::asio;

namespace tamarackcove {

// When this many reports are unanswered, further reports are dropped, so that a long outage of the control group does
// not exhaust memory.
static constexpr std::size_t MaxPendingReports = 256;
static constexpr milliseconds ReportTimeout = seconds(20);

static ControlError malformedAnswer(const WireError &error)
{
    return {.code = ControlErrorCode::OutcomeUnknown, .detail = error.detail};
}

std::string ControlLink::Impl::makeAttemptId()
{
    // The random number makes the id unique across restarts of this entry.
    return options.self.value() + '-' + std::to_string(random()) + '-' + std::to_string(++attemptCounter);
}

static std::optional<ReservationOutcome> outcomeFromText(const std::string &text)
{
    if (text == "granted") {
        return ReservationOutcome::Granted;
    }
    if (text == "completed") {
        return ReservationOutcome::Completed;
    }
    if (text == "in_doubt") {
        return ReservationOutcome::InDoubt;
    }
    if (text == "key_reused") {
        return ReservationOutcome::KeyReused;
    }
    return std::nullopt;
}

asio::awaitable<Result<CallReservation, ControlError>> ControlLink::Impl::reserveCall(std::string key,
                                                                                      std::uint64_t digest)
{
    ReserveCallMessage message;
    message.key = std::move(key);
    message.digest = digest;
    message.entry = options.self.value();
    message.attempt = makeAttemptId();
    const auto answer = co_await channel.call(toMessage(message), options.callTimeout);
    if (answer.has_error()) {
        co_return answer.error();
    }
    auto reservation = fromMessage<ReservationMessage>(answer.value());
    if (reservation.has_error()) {
        co_return malformedAnswer(reservation.error());
    }
    const auto outcome = outcomeFromText(reservation.value().outcome);
    if (!outcome) {
        ControlError error{.code = ControlErrorCode::Refused,
                           .detail = "the control group refused the call reservation: " + reservation.value().outcome};
        co_return error;
    }
    CallReservation result;
    result.outcome = *outcome;
    result.status = reservation.value().status;
    result.contentType = std::move(reservation.value().contentType);
    result.body = std::move(reservation.value().body);
    co_return result;
}

asio::awaitable<Result<void, ControlError>> ControlLink::Impl::completeCall(std::string key, int status,
                                                                            std::string contentType, std::string body)
{
    // The control group does not store larger answers; it only records that the call has completed.
    constexpr std::size_t MaxAnswerBytes = 64 * 1024;
    CompleteCallMessage message;
    message.key = std::move(key);
    message.entry = options.self.value();
    message.status = status;
    message.contentType = std::move(contentType);
    message.body = std::move(body);
    if (message.body.size() > MaxAnswerBytes) {
        message.body.resize(MaxAnswerBytes + 1);
    }
    const auto answer = co_await channel.call(toMessage(message), options.callTimeout);
    if (answer.has_error()) {
        co_return answer.error();
    }
    co_return ok();
}

asio::awaitable<Result<void, ControlError>> ControlLink::Impl::releaseCall(std::string key)
{
    ReleaseCallMessage message;
    message.key = std::move(key);
    message.entry = options.self.value();
    const auto answer = co_await channel.call(toMessage(message), options.callTimeout);
    if (answer.has_error()) {
        co_return answer.error();
    }
    co_return ok();
}

asio::awaitable<Result<StorePermit, ControlError>> ControlLink::Impl::requestPermit(Zone zone, FencingNumber number,
                                                                                    StorePermit wanted)
{
    const auto sentAt = Clock::now();
    if (number != permitFencingNumber) {
        permitFencingNumber = number;
        permitStamp = {};
        grantedLimits = {};
    }
    // The coordinator has given up the part of its permit that it no longer requests.
    grantedLimits.loadsPerSecond = std::min(grantedLimits.loadsPerSecond, wanted.loadsPerSecond);
    grantedLimits.concurrentLoads = std::min(grantedLimits.concurrentLoads, wanted.concurrentLoads);
    const auto held = sentAt < permitValidUntil ? grantedLimits : LoadLimits{};
    PermitRequestMessage message;
    message.zone = zone.value();
    message.fencing = number.value();
    message.loadsPerSecond = wanted.loadsPerSecond;
    message.concurrentLoads = wanted.concurrentLoads;
    message.heldLoadsPerSecond = held.loadsPerSecond;
    message.heldConcurrentLoads = held.concurrentLoads;
    message.inFlight = wanted.inFlight;
    message.stampTerm = permitStamp.term;
    message.stampNumber = permitStamp.number;
    // A permit is valid from when its request was sent, so after several attempts little of its validity would be left.
    const auto answer = co_await channel.call(toMessage(message), options.answerTimeout);
    if (answer.has_error()) {
        co_return answer.error();
    }
    const auto received = fromMessage<PermitMessage>(answer.value());
    if (received.has_error()) {
        co_return malformedAnswer(received.error());
    }
    const auto &body = received.value();
    const PermitId stamp{.term = body.stampTerm, .number = body.stampNumber};
    if (number != permitFencingNumber || stamp <= permitStamp) {
        ControlError error{.code = ControlErrorCode::Refused,
                           .detail = "a newer store permit was received before this answer"};
        co_return error;
    }
    permitStamp = stamp;
    grantedLimits = {.loadsPerSecond = body.loadsPerSecond, .concurrentLoads = body.concurrentLoads};
    permitValidUntil = sentAt + body.validFor;
    StorePermit permit;
    permit.loadsPerSecond = body.loadsPerSecond;
    permit.concurrentLoads = body.concurrentLoads;
    permit.validFor = body.validFor;
    permit.quotaLoadsPerSecond = body.quotaLoadsPerSecond;
    permit.quotaConcurrentLoads = body.quotaConcurrentLoads;
    co_return permit;
}

asio::awaitable<Result<bool, ControlError>> ControlLink::Impl::requestZoneVote(Zone zone, EntryId candidate,
                                                                               FencingNumber number, milliseconds lease)
{
    ZoneVoteMessage message;
    message.zone = zone.value();
    message.candidate = candidate.value();
    message.fencing = number.value();
    message.lease = lease;
    const auto answer = co_await channel.call(toMessage(message), options.answerTimeout);
    if (answer.has_error()) {
        co_return answer.error();
    }
    const auto vote = fromMessage<ZoneVoteAnswerMessage>(answer.value());
    if (vote.has_error()) {
        co_return malformedAnswer(vote.error());
    }
    highestVotedNumber = std::max(highestVotedNumber, FencingNumber(vote.value().highest));
    co_return vote.value().granted;
}

void ControlLink::Impl::report(Message message)
{
    if (pendingReports >= MaxPendingReports) {
        LogLine(LogLevel::Warning, "report_dropped").add("type", message.type);
        return;
    }
    ++pendingReports;
    auto shared = std::make_shared<Message>(std::move(message));
    supervisor.startTemporary("report-" + std::to_string(++lastReportNumber),
                              [this, shared]() -> asio::awaitable<void> {
                                  struct Open
                                  {
                                      std::size_t &count;
                                      ~Open()
                                      {
                                          --count;
                                      }
                                  };
                                  const Open open{pendingReports};
                                  const auto answer = co_await channel.call(*shared, ReportTimeout);
                                  if (answer.has_error()) {
                                      LogLine(LogLevel::Warning, "report_lost")
                                          .add("type", shared->type)
                                          .add("reason", answer.error().detail);
                                  }
                              });
}

bool ControlLink::Impl::connected() const
{
    return hosts.leaderHeardSince(Clock::now() - options.watchWait - options.answerTimeout);
}

static Message zoneReportMessage(const Zone &zone, const EntryId &coordinator, FencingNumber number,
                                 const std::vector<TargetReport> &targets)
{
    ZoneReportMessage message;
    message.zone = zone.value();
    message.coordinator = coordinator.value();
    message.fencing = number.value();
    message.targets = nlohmann::json::array();
    for (const auto &target : targets) {
        auto adapters = nlohmann::json::array();
        for (const auto &adapter : target.adapters) {
            adapters.push_back(adapter.toString());
        }
        message.targets.push_back({{"id", target.target.value()},
                                   {"kind", target.kind},
                                   {"health", target.health},
                                   {"running", target.running},
                                   {"waiting", target.waiting},
                                   {"adapters", std::move(adapters)}});
    }
    return toMessage(message);
}

static Message crashMessage(const TargetId &target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints)
{
    CrashReportMessage message;
    message.target = target.value();
    message.incarnation = incarnation.value();
    message.fingerprints = std::move(fingerprints);
    return toMessage(message);
}

ControlCalls ControlLink::calls()
{
    auto *impl = m_impl.get();
    ControlCalls calls;
    calls.reserveCall = [impl](std::string key, std::uint64_t digest) {
        return impl->reserveCall(std::move(key), digest);
    };
    calls.completeCall = [impl](std::string key, int status, std::string contentType, std::string body) {
        return impl->completeCall(std::move(key), status, std::move(contentType), std::move(body));
    };
    calls.releaseCall = [impl](std::string key) {
        return impl->releaseCall(std::move(key));
    };
    calls.requestPermit = [impl](Zone zone, FencingNumber number, StorePermit wanted) {
        return impl->requestPermit(std::move(zone), number, wanted);
    };
    calls.reportCrash = [impl](TargetId target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints) {
        impl->report(crashMessage(target, incarnation, std::move(fingerprints)));
    };
    calls.reportSuspectCleared = [impl](std::uint64_t fingerprint) {
        impl->report(toMessage(CrashClearedMessage{.fingerprint = fingerprint}));
    };
    calls.requestZoneVote = [impl](Zone zone, EntryId candidate, FencingNumber number, milliseconds lease) {
        return impl->requestZoneVote(std::move(zone), std::move(candidate), number, lease);
    };
    calls.connected = [impl] {
        return impl->connected();
    };
    calls.reportZone = [impl](Zone zone, FencingNumber number, std::vector<TargetReport> targets) {
        impl->report(zoneReportMessage(zone, impl->options.self, number, targets));
    };
    calls.highestVotedNumber = [impl] {
        return impl->highestVotedNumber;
    };
    calls.partitionQuota = [impl] {
        StorePermit permit;
        permit.quotaLoadsPerSecond = impl->zoneQuota.loadsPerSecond;
        permit.quotaConcurrentLoads = impl->zoneQuota.concurrentLoads;
        return permit;
    };
    return calls;
}

} // namespace tamarackcove
