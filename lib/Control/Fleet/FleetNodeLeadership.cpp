#include "FleetNodeImpl.h"
#include "tamarackcove/Control/Fleet/FleetCodec.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

/// Delay before the leader again proposes itself as holder of the order duty (TakeOrderDuty), after the log has not
/// accepted the proposal.
static constexpr milliseconds DutyRetryDelay{50};
/// Longest time for which a leader whose lease has expired keeps what it knows of servers and entries, and entries keep
/// to it. The other control hosts elect a new leader within about this time.
static constexpr milliseconds MaxSuspension{600};
/// Added to the order lease while waiting for a former holder of the order duty, for its orders that are still in
/// transit.
static constexpr milliseconds LeaseMargin{150};
/// Time for which a new leader convicts no suspect, so that entries can report that they have seen it answered. They
/// learn of the leader within a status interval.
static constexpr milliseconds ObjectionDelay{500};

void FleetNode::Impl::handleLeadershipChange(Leadership leadership)
{
    suspended = leadership == Leadership::Suspended;
    switch (leadership) {
    case Leadership::None:
        if (leading) {
            endLeadership();
        }
        return;
    case Leadership::Suspended:
        // Under load the lease may expire for some milliseconds several times a second. Starting over each time would
        // add to the load: the whole state to each entry, and a read of the state of each server.
        if (leading) {
            const auto number = ++suspensionCount;
            root.startTemporary("suspension-" + std::to_string(number), [this, number] { return awaitLease(number); });
        }
        return;
    case Leadership::Held:
        if (!leading) {
            beginLeadership();
        }
        return;
    }
}

asio::awaitable<void> FleetNode::Impl::awaitLease(std::uint64_t suspensionNumber)
{
    Timer timer(root.executor(), MaxSuspension);
    co_await timer.async_wait(asio::use_awaitable);
    if (leading && suspended && suspensionCount == suspensionNumber) {
        endLeadership();
    }
}

void FleetNode::Impl::endLeadership()
{
    leading = false;
    ++leadershipCount;
    dispatcher.end();
    planner.reset();
    demands.clear();
    allowances.begin(Clock::now());
    acquittedSuspects.clear();
    watchedSuspects.clear();
    registry.clear();
    links.resendEverything();
}

void FleetNode::Impl::beginLeadership()
{
    leading = true;
    leadershipTerm = replica.client().status().term;
    ++leadershipCount;
    links.resendEverything();
    leadershipStartedAt = Clock::now();
    allowances.begin(leadershipStartedAt);
    setAllowances();
    crashes.beginDecisions(leadershipStartedAt + ObjectionDelay);
    // Entries that have ended since they reported crashes do not report them again.
    evaluateCrashesSoon();
    for (const auto &[id, server] : log.state().servers()) {
        if (const auto invalid = server.validationError()) {
            LogLine(LogLevel::Warning, "server_record_ignored").add("reason", *invalid);
        }
        (void)registry.addUnannounced(server, false, leadershipStartedAt);
    }
    handleStateChange(nullptr);
    // A former holder of the order duty that is unreachable, or whose process has restarted since it took the order
    // duty, does not send orders any more.
    const auto &former = log.state().duty();
    const auto status = replica.client().status();
    const bool formerHolderRuns
        = former.holder != settings.host
        && std::any_of(status.replicas.begin(), status.replicas.end(), [&](const auto &member) {
               return member.reachable && member.name == former.holder && member.boot == former.boot;
           });
    root.startTemporary("duty-" + std::to_string(leadershipCount),
                        [this, formerHolderRuns, leadershipNumber = leadershipCount] {
                            return acquireOrderDuty(leadershipNumber, formerHolderRuns);
                        });
}

asio::awaitable<void> FleetNode::Impl::acquireOrderDuty(std::uint64_t leadershipNumber, bool awaitFormerHolder)
{
    const auto host = settings.host;
    const auto boot = replicaBoot;
    Timer timer(root.executor());
    if (awaitFormerHolder) {
        // The former holder may have sent its last order as late as the moment when this host became leader.
        timer.expires_after(settings.orderLease + LeaseMargin);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (leading && leadershipCount == leadershipNumber) {
        auto command = encodeFleetCommand(TakeOrderDuty{.holder = host, .boot = boot});
        const auto taken = co_await replica.client().propose(std::move(command));
        if (taken.has_value() && leading && leadershipCount == leadershipNumber && log.state().duty().holder == host) {
            dispatcher.begin(host, log.state().duty().fence);
            for (const auto &[id, server] : registry.servers()) {
                updatePlanner(server.lastHeartbeat);
            }
            co_return;
        }
        timer.expires_after(DutyRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace tamarackcove
