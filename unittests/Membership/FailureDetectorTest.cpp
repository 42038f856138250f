#include "tamarackcove/Membership/FailureDetector.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const EntryId B("b");
static const EntryId C("c");
static const EntryId D("d");

/// This entry is a; b, c and d are its peers.
static FailureDetector zoneOfFour()
{
    FailureDetector detector({});
    for (const auto &peer : {B, C, D}) {
        detector.addPeer(peer, Zone("z"));
        detector.heard(peer, Start);
    }
    return detector;
}

TEST_CASE("one silent link makes a peer slow, the reports of a majority make it gone")
{
    auto detector = zoneOfFour();
    const auto later = Start + seconds(2);
    detector.heard(C, later);
    detector.heard(D, later);
    CHECK(detector.state(B, later) == PeerState::Slow);
    detector.report(C, {B}, later);
    CHECK(detector.state(B, later) == PeerState::Slow);
    detector.report(D, {B}, later);
    CHECK(detector.state(B, later) == PeerState::Gone);
    detector.heard(B, later);
    CHECK(detector.state(B, later) == PeerState::Alive);
}

TEST_CASE("an old report, or one of a peer that is silent itself, does not make another peer gone")
{
    auto detector = zoneOfFour();
    detector.report(C, {B}, Start);
    detector.report(D, {B}, Start);
    const auto later = Start + seconds(2);
    detector.heard(C, later);
    CHECK(detector.state(B, later) == PeerState::Slow);
    detector.heard(D, later + seconds(3));
    detector.heard(C, later + seconds(3));
    CHECK(detector.state(B, later + seconds(3)) == PeerState::Slow);
}

TEST_CASE("an entry that hears nobody is cut off and takes nobody for gone")
{
    auto detector = zoneOfFour();
    const auto later = Start + seconds(2);
    CHECK(detector.partitioned(Zone("z"), later));
    CHECK(detector.state(B, later) == PeerState::Partitioned);
    CHECK(detector.silentPeers(later).size() == 3);
    detector.heard(C, later);
    CHECK_FALSE(detector.partitioned(Zone("z"), later));
}
