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

/// Shortest time between two evaluations of the crashes. It bounds the CPU time of the leader however many entries
/// report the same crash.
static constexpr milliseconds AttributionInterval{20};

void FleetNode::Impl::applyCrashes(const FleetReportMessage &report)
{
    if (report.crashes.empty() && report.answeredParts.empty()) {
        return;
    }
    const auto now = Clock::now();
    // The answers came before the crashes of the same report, or the parts would not be in doubt.
    for (const auto &part : report.answeredParts) {
        crashes.recordAnswered(PromptPart(part), now);
    }
    for (const auto &crash : report.crashes) {
        std::vector<PromptPart> parts;
        parts.reserve(crash.parts.size());
        for (const auto &part : crash.parts) {
            parts.emplace_back(part);
        }
        crashes.recordCrash({.id = TargetId(crash.server), .startedAt = Incarnation(crash.startedAt)}, parts, now);
        LogLine(LogLevel::Info, "server_crash_reported")
            .add("server", crash.server)
            .add("started_at", crash.startedAt)
            .add("parts", static_cast<std::uint64_t>(crash.parts.size()))
            .add("entry", report.entry);
    }
    crashesReported = true;
    crashTimer.cancel();
}

std::set<PromptPart> FleetNode::Impl::quarantinedParts() const
{
    std::set<PromptPart> parts;
    for (const auto &[part, at] : log.state().quarantinedParts()) {
        parts.insert(part);
    }
    return parts;
}

void FleetNode::Impl::publishPromptParts()
{
    if (leading) {
        for (const auto &part : crashes.takeConvicted(Clock::now())) {
            LogLine(LogLevel::Warning, "prompt_part_convicted").add("part", part.value());
            const FleetCommand command = QuarantinePromptPart{.part = part};
            root.startTemporary("quarantine-" + std::to_string(++recordTaskCount),
                                [this, bytes = encodeFleetCommand(command)]() -> asio::awaitable<void> {
                                    (void)co_await replica.client().propose(bytes);
                                    // If the log has not accepted the command, the next crash convicts the part again.
                                    crashes.setConvicted(quarantinedParts());
                                });
        }
    }
    if (feed.setPromptParts(crashes.watched(Clock::now()), quarantinedParts()) && leading) {
        links.scheduleStateUpdate();
    }
}

asio::awaitable<void> FleetNode::Impl::attributeCrashes()
{
    TimePoint evaluatedAt;
    std::optional<TimePoint> decisionAt;
    for (;;) {
        const auto dueAt = crashesReported ? evaluatedAt : decisionAt.value_or(TimePoint::max());
        crashTimer.expires_at(std::max(dueAt, evaluatedAt + AttributionInterval));
        boost::system::error_code ignored;
        co_await crashTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const auto now = Clock::now();
        if (now < evaluatedAt + AttributionInterval || (!crashesReported && (!decisionAt || now < *decisionAt))) {
            continue;
        }
        evaluatedAt = now;
        crashesReported = false;
        publishPromptParts();
        decisionAt = leading ? crashes.nextDecisionAt(now) : std::nullopt;
    }
}

} // namespace tamarackcove
