#include "tamarackcove/Membership/ZoneElection.h"
#include "tamarackcove/Membership/ZoneVoter.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));

static ZoneVoteRequest request(const std::string &candidate, std::uint64_t number)
{
    return ZoneVoteRequest{
        .candidate = EntryId(candidate), .session = 1, .number = FencingNumber(number), .lease = seconds(2)};
}

TEST_CASE("a voter promises the lease to one candidate at a time")
{
    ZoneVoter voter(Start);
    CHECK(voter.handleRequest(request("a", 5), Start).granted);
    CHECK_FALSE(voter.handleRequest(request("b", 6), Start + seconds(1)).granted);
    CHECK(voter.handleRequest(request("a", 5), Start + seconds(1)).granted);
    CHECK_FALSE(voter.handleRequest(request("b", 6), Start + milliseconds(2900)).granted);
    CHECK(voter.handleRequest(request("b", 6), Start + seconds(3)).granted);
    // The promise to b has ended as well, but the number of a is lower than that of b.
    CHECK_FALSE(voter.handleRequest(request("a", 5), Start + seconds(9)).granted);
}

TEST_CASE("a restarted voter grants nothing before the longest lease that it may have promised has ended")
{
    ZoneVoter voter(Start + seconds(2));
    CHECK_FALSE(voter.handleRequest(request("a", 5), Start + milliseconds(1999)).granted);
    CHECK(voter.handleRequest(request("a", 5), Start + seconds(2)).granted);
}

TEST_CASE("a release for an earlier number does not end a later promise")
{
    ZoneVoter voter(Start);
    CHECK(voter.handleRequest(request("a", 5), Start).granted);
    voter.handleRelease(request("a", 4), false);
    CHECK(voter.currentPromise(Start + seconds(1)).has_value());
    voter.handleRelease(request("a", 5), false);
    CHECK_FALSE(voter.currentPromise(Start + seconds(1)).has_value());
    CHECK(voter.handleRequest(request("b", 6), Start + seconds(1)).granted);
}

TEST_CASE("after the campaign of another candidate fails, a voter renews its promise to the coordinator")
{
    ZoneVoter voter(Start);
    CHECK(voter.handleRequest(request("a", 5), Start).granted);
    CHECK(voter.handleRequest(request("b", 6), Start + seconds(3)).granted);
    voter.handleRelease(request("b", 6), true);
    CHECK(voter.handleRequest(request("a", 5), Start + seconds(3)).granted);
    // After a lease was held under a number, a release does not allow lower numbers again.
    CHECK(voter.handleRequest(request("b", 6), Start + seconds(9)).granted);
    voter.handleRelease(request("b", 6), false);
    CHECK_FALSE(voter.handleRequest(request("a", 5), Start + seconds(9)).granted);
}

TEST_CASE("a restarted candidate process cannot extend the promise to the process before it")
{
    ZoneVoter voter(Start);
    CHECK(voter.handleRequest(request("a", 5), Start).granted);
    auto restarted = request("a", 5);
    restarted.session = 2;
    CHECK_FALSE(voter.handleRequest(restarted, Start + seconds(1)).granted);
}

static ZoneElection candidateWithVoters(std::set<EntryId> voters)
{
    ZoneElection::Options options;
    options.self = EntryId("a");
    options.voters = std::move(voters);
    return ZoneElection(options, Start);
}

TEST_CASE("the lease ends a clock margin before the promises of the voters, or at once when the entry resigns")
{
    auto candidate = candidateWithVoters({EntryId("a"), EntryId("b"), EntryId("c")});
    const auto now = candidate.nextPoll();
    const auto round = candidate.poll(now, std::nullopt);
    REQUIRE(round.has_value());
    candidate.onReply(round->id, EntryId("a"), {.granted = true, .highest = round->request.number});
    CHECK_FALSE(candidate.holdsLease(now));
    // A duplicate reply counts once, and a reply of an entry that is not a voter does not count.
    candidate.onReply(round->id, EntryId("a"), {.granted = true, .highest = round->request.number});
    candidate.onReply(round->id, EntryId("x"), {.granted = true, .highest = round->request.number});
    CHECK_FALSE(candidate.holdsLease(now));
    candidate.onReply(round->id, EntryId("b"), {.granted = true, .highest = round->request.number});
    CHECK(candidate.holdsLease(now + milliseconds(1899)));
    CHECK_FALSE(candidate.holdsLease(now + milliseconds(1900)));
    const auto released = candidate.resign();
    REQUIRE(released.has_value());
    CHECK(released->kind == ZoneElection::RoundKind::Release);
    CHECK_FALSE(candidate.holdsLease(now));
    CHECK_FALSE(candidate.poll(now + seconds(60), std::nullopt).has_value());
}

TEST_CASE("a coordinator that sees a higher number at a target campaigns again with a number above it")
{
    auto candidate = candidateWithVoters({EntryId("a")});
    const auto first = candidate.poll(Start, std::nullopt);
    REQUIRE(first.has_value());
    candidate.onReply(first->id, EntryId("a"), {.granted = true, .highest = first->request.number});
    CHECK(candidate.holdsLease(Start));
    candidate.recordFencingNumber(FencingNumber(500));
    CHECK(candidate.poll(Start + milliseconds(1), std::nullopt)->kind == ZoneElection::RoundKind::Release);
    const auto second = candidate.poll(Start + milliseconds(2), std::nullopt);
    REQUIRE(second.has_value());
    CHECK(second->request.number == FencingNumber(501));
}

TEST_CASE("the control group votes in a zone with an even number of entries")
{
    CHECK(controlGroupVotes(2));
    CHECK_FALSE(controlGroupVotes(3));
    auto candidate = candidateWithVoters({EntryId("a"), EntryId("b"), controlGroupVoter()});
    const auto now = candidate.nextPoll();
    const auto round = candidate.poll(now, std::nullopt);
    REQUIRE(round.has_value());
    candidate.onReply(round->id, EntryId("a"), {.granted = true, .highest = round->request.number});
    candidate.onReply(round->id, controlGroupVoter(), {.granted = true, .highest = FencingNumber()});
    CHECK(candidate.holdsLease(now));
}
