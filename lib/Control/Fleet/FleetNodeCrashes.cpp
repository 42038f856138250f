#include "FleetNodeImpl.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Observe/LogLine.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <set>

namespace asio = boost::asio;

namespace tamarackcove {

/// Time after which the crashes are evaluated again if the log has not accepted a verdict.
static constexpr milliseconds VerdictRetryDelay{100};
/// Shortest time between two changes of the list of watched suspects that only remove some. Each change goes to all
/// entries at once.
static constexpr milliseconds UnwatchInterval{500};

void FleetNode::Impl::applyCrashes(const FleetReportMessage &report)
{
    if (report.crashes.empty() && report.answeredSuspects.empty()) {
        return;
    }
    const auto now = Clock::now();
    for (const auto &answered : report.answeredSuspects) {
        const CrashSuspect suspect(answered.suspect);
        crashes.recordAnswered(suspect, now - milliseconds(answered.agoMs));
        if (answered.completeAgoMs >= 0) {
            crashes.recordAnswered(suspect, now - milliseconds(answered.completeAgoMs), AnswerProgress::Complete);
        }
    }
    for (const auto &crash : report.crashes) {
        crashEvidenceCount += 1 + crash.suspects.size();
        std::map<CrashSuspect, TimePoint> sentTimes;
        std::set<CrashSuspect> sentAgain;
        std::set<CrashSuspect> begun;
        for (const auto &suspect : crash.suspects) {
            sentTimes.emplace(suspect.suspect, now - milliseconds(suspect.agoMs));
            if (suspect.again) {
                sentAgain.emplace(suspect.suspect);
            }
            if (suspect.begun) {
                begun.emplace(suspect.suspect);
            }
        }
        const ServerIdentity server{.id = TargetId(crash.server), .startedAt = Incarnation(crash.startedAt)};
        const bool isNew = !crashes.hasEvidence(server);
        if (crash.silent) {
            CrashAttribution::Silence silence;
            silence.endpoint = Endpoint::parse(crash.endpoint).value_or(Endpoint{});
            silence.firstSentAt = now - milliseconds(crash.firstSentAgoMs);
            if (crash.lastHeardAgoMs >= 0) {
                silence.lastHeardAt = now - milliseconds(crash.lastHeardAgoMs);
            }
            silence.sentTimes = sentTimes;
            silence.sentAgain = sentAgain;
            silence.begun = begun;
            crashes.recordSilence(server, silence, now);
        }
        if (crash.closed) {
            crashes.recordCrash(server, now - milliseconds(crash.agoMs), sentTimes, now, sentAgain, begun);
        }
        // One line for each server, however many entries report it.
        if (isNew) {
            LogLine(LogLevel::Info, "server_crash_reported")
                .add("server", crash.server)
                .add("started_at", crash.startedAt)
                .add("how", crash.closed ? "closed" : "silent")
                .add("ago_ms", crash.closed ? crash.agoMs : crash.firstSentAgoMs)
                .add("parts", static_cast<std::uint64_t>(crash.suspects.size()))
                .add("entry", report.entry);
        }
    }
    evaluateCrashesSoon();
}

void FleetNode::Impl::evaluateCrashesSoon()
{
    crashesReported = true;
    if (leading) {
        crashTimer.cancel();
    }
}

static std::set<CrashSuspect> suspectsOf(const FleetState::SuspectTimes &times)
{
    std::set<CrashSuspect> suspects;
    for (const auto &[suspect, at] : times) {
        suspects.insert(suspect);
    }
    return suspects;
}

void FleetNode::Impl::readVerdicts()
{
    crashes.setVerdicts(suspectsOf(log.state().quarantinedSuspects()), suspectsOf(log.state().suspectsOnProbation()));
}

void FleetNode::Impl::proposeVerdict(const FleetCommand &command)
{
    root.startTemporary("verdict-" + std::to_string(++recordTaskCount),
                        [this, command, bytes = encodeFleetCommand(command)]() -> asio::awaitable<void> {
                            const auto proposed = co_await replica.client().propose(bytes);
                            if (proposed.has_value()) {
                                co_return;
                            }
                            // Without this, only the next crash would lead to the verdict.
                            Timer pause(root.executor(), VerdictRetryDelay);
                            co_await pause.async_wait(asio::use_awaitable);
                            if (const auto *verdict = std::get_if<QuarantineSuspect>(&command)) {
                                crashes.forgetConviction(verdict->suspect);
                            }
                            evaluateCrashesSoon();
                        });
}

void FleetNode::Impl::decideOnCrashes()
{
    for (const auto &suspect : crashes.takeConvicted(Clock::now())) {
        LogLine(LogLevel::Warning, isRequest(suspect) ? "crashing_request_convicted" : "prompt_part_convicted")
            .add("part", suspect.value());
        proposeVerdict(QuarantineSuspect{.suspect = suspect});
    }
    const auto now = Clock::now();
    auto watched = crashes.watched(now);
    // Suspects leave the list when they are answered, and may be back soon after.
    const bool onlyRemovals
        = std::includes(watchedSuspects.begin(), watchedSuspects.end(), watched.begin(), watched.end());
    if (!onlyRemovals || now >= watchedSuspectsSetAt + UnwatchInterval) {
        watchedSuspects = std::move(watched);
        watchedSuspectsSetAt = now;
    }
    publishSuspects();
}

void FleetNode::Impl::publishSuspects()
{
    if (feed.setSuspects(watchedSuspects, suspectsOf(log.state().quarantinedSuspects())) && leading) {
        links.scheduleStateUpdate();
    }
}

milliseconds FleetNode::Impl::quarantineTimeOf(const CrashSuspect &suspect) const
{
    return kindOf(suspect) == SuspectKind::RequestPath ? std::min(settings.quarantineTime, settings.pathQuarantineTime)
                                                       : settings.quarantineTime;
}

void FleetNode::Impl::releaseSuspects()
{
    if (!leading) {
        return;
    }
    const auto &quarantined = log.state().quarantinedSuspects();
    for (auto &suspect : crashes.takeAcquitted()) {
        acquittedSuspects.insert(std::move(suspect));
    }
    std::erase_if(acquittedSuspects, [&](const CrashSuspect &suspect) { return !quarantined.contains(suspect); });
    const auto now = std::chrono::system_clock::now();
    for (const auto &[suspect, at] : quarantined) {
        if (acquittedSuspects.contains(suspect)) {
            LogLine(LogLevel::Warning, isRequest(suspect) ? "request_acquitted" : "prompt_part_acquitted")
                .add("part", suspect.value())
                .add("reason", "servers that seemed to have crashed have sent heartbeats");
            proposeVerdict(ReleaseSuspect{.suspect = suspect, .onProbation = false});
        } else if (at + quarantineTimeOf(suspect) <= now) {
            LogLine(LogLevel::Info, "quarantine_ended").add("part", suspect.value());
            proposeVerdict(ReleaseSuspect{.suspect = suspect, .onProbation = true});
        }
    }
}

asio::awaitable<void> FleetNode::Impl::attributeCrashes()
{
    std::optional<TimePoint> decisionAt;
    for (;;) {
        const bool isDue = leading && crashesReported;
        const auto dueAt = isDue ? TimePoint() : decisionAt.value_or(TimePoint::max());
        crashTimer.expires_at(std::max(dueAt, crashes.nextEvaluationAt()));
        boost::system::error_code ignored;
        co_await crashTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = Clock::now();
        if (!leading) {
            decisionAt.reset();
            continue;
        }
        if (now < crashes.nextEvaluationAt() || (!crashesReported && (!decisionAt || now < *decisionAt))) {
            continue;
        }
        crashesReported = false;
        decideOnCrashes();
        decisionAt = crashes.nextDecisionAt(now);
    }
}

} // namespace tamarackcove
