#include "ZoneMemberImpl.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/Codec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

bool ZoneMember::Impl::holdsLease(TimePoint now) const
{
    return election.holdsLease(now);
}

void ZoneMember::Impl::wakeElection()
{
    electionWake->cancel();
}

asio::awaitable<void> ZoneMember::Impl::electionTask()
{
    while (true) {
        const auto now = Clock::now();
        const auto promised = voter.currentPromise(now);
        std::optional<TimePoint> otherPromise;
        if (promised && promised->session != session) {
            otherPromise = voter.promiseEnd();
        }
        if (!coordinator && follower.mayDispatch(now) && follower.number() != resignedFencingNumber) {
            // A valid view lease proves that another entry is coordinator, even when this voter has not voted for it.
            otherPromise = std::max(otherPromise.value_or(TimePoint::min()), follower.leaseEnd());
        }
        if (const auto round = election.poll(now, otherPromise)) {
            sendRound(*round);
        }
        // A coordinator term ends with its zone lease. A new fencing number always starts a new term.
        if (coordinator && (!holdsLease(Clock::now()) || coordinator->number() != election.number())) {
            LogLine(LogLevel::Warning, "zone_lease_lost").add("number", coordinator->number().value());
            co_await supervisor->stopChild("coordinator");
            coordinator.reset();
            continue;
        }
        if (!coordinator && holdsLease(Clock::now())) {
            startTerm();
        }
        electionWake->expires_at(election.nextPoll());
        boost::system::error_code ignored;
        co_await electionWake->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void ZoneMember::Impl::startTerm()
{
    const auto number = election.number();
    LogLine(LogLevel::Info, "zone_lease_won").add("number", number.value());
    coordinator = std::make_unique<CoordinatorTask>(
        supervisor->executor(), options, hooks, number, priorReleases, follower, network,
        CoordinatorTask::Hooks{
            .holdsLease = [this, number](TimePoint now) { return holdsLease(now) && election.number() == number; },
            .recordFencingNumber =
                [this, number](FencingNumber seen) {
                    if (seen > number) {
                        election.recordFencingNumber(seen);
                        wakeElection();
                    }
                },
            .aliveEntries =
                [this] {
                    return aliveEntries();
                }});
    supervisor->start(
        "coordinator", [this] { return coordinator->run(); }, RestartPolicy{.restart = Restart::Never});
    for (auto *link : network.links()) {
        link->sendHeartbeatNow();
    }
}

void ZoneMember::Impl::sendRound(const ZoneElection::Round &round)
{
    const bool release = round.kind == ZoneElection::RoundKind::Release;
    const auto now = Clock::now();
    VoteMessage message;
    message.round = round.id;
    message.session = round.request.session;
    message.number = round.request.number.value();
    message.leaseMs = round.request.lease.count();
    message.release = release;
    message.leaseNeverHeld = round.leaseNeverHeld;
    network.broadcast(toMessage(message));
    if (release) {
        voter.handleRelease(round.request, round.leaseNeverHeld);
        follower.setHighestGranted(voter.highest());
        return;
    }
    if (!coordinator) {
        priorReleases.addVoterReleases(round.request.number, options.self, follower.releaseRecords().isComplete(now),
                                       follower.releaseRecords().activeReleases(now));
    }
    election.onReply(round.id, options.self, voter.handleRequest(round.request, now));
    follower.setHighestGranted(voter.highest());
    if (hooks.control.requestZoneVote && controlGroupVotes(detector.peers(options.zone).size() + 1)) {
        supervisor->startTemporary("control_vote", [this, round] { return controlVote(round); });
    }
}

asio::awaitable<void> ZoneMember::Impl::controlVote(ZoneElection::Round round)
{
    const auto &request = round.request;
    const auto granted
        = co_await hooks.control.requestZoneVote(options.zone, request.candidate, request.number, request.lease);
    if (granted.has_value()) {
        const ZoneVoteReply reply{.granted = granted.value(), .highest = FencingNumber()};
        election.onReply(round.id, controlGroupVoter(), reply);
        wakeElection();
    }
}

void ZoneMember::Impl::onVote(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<VoteMessage>(message);
    if (parsed.has_error()) {
        logBadMessage(link, message, parsed.error().detail);
        return;
    }
    const auto &vote = parsed.value();
    const ZoneVoteRequest request{.candidate = link.peer(),
                                  .session = vote.session,
                                  .number = FencingNumber(vote.number),
                                  .lease = std::min(milliseconds(vote.leaseMs), options.lease)};
    if (vote.release) {
        voter.handleRelease(request, vote.leaseNeverHeld);
        if (!vote.leaseNeverHeld) {
            resignedFencingNumber = request.number;
        }
        follower.setHighestGranted(voter.highest());
        wakeElection();
        return;
    }
    const auto now = Clock::now();
    const bool renews = voter.currentPromise(now) == request;
    const auto reply = voter.handleRequest(request, now);
    follower.setHighestGranted(voter.highest());
    VoteReplyMessage answer;
    answer.round = vote.round;
    answer.granted = reply.granted;
    answer.highest = reply.highest.value();
    if (reply.granted && !renews) {
        // A new coordinator must know which adapters an order of the previous one may still evict.
        for (const auto &[target, adapter] : follower.releaseRecords().activeReleases(now)) {
            answer.released.emplace_back(target.value(), adapter.toString());
        }
        answer.complete = follower.releaseRecords().isComplete(now);
    }
    link.send(toMessage(answer));
}

void ZoneMember::Impl::onVoteReply(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<VoteReplyMessage>(message);
    if (parsed.has_error()) {
        logBadMessage(link, message, parsed.error().detail);
        return;
    }
    const auto &reply = parsed.value();
    std::vector<ReleaseRecords::Pair> released;
    for (const auto &[target, adapter] : reply.released) {
        if (const auto held = AdapterRef::parse(adapter)) {
            released.emplace_back(TargetId(target), *held);
        }
    }
    if (reply.granted && !coordinator && election.awaitsReply(reply.round)) {
        priorReleases.addVoterReleases(election.number(), link.peer(), reply.complete, released);
    }
    const bool held = holdsLease(Clock::now());
    election.onReply(reply.round, link.peer(),
                     ZoneVoteReply{.granted = reply.granted, .highest = FencingNumber(reply.highest)});
    if (!held && holdsLease(Clock::now())) {
        wakeElection();
    }
}

} // namespace tamarackcove
