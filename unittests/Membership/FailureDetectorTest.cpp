#include "tamarackcove/Membership/FailureDetector.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const EntryId B("b");
static const EntryId C("c");
static const EntryId D("d");

/// A detector on entry a that has just received a message from each of its peers b, c and d.
static FailureDetector detectorWithThreePeers()
{
    FailureDetector detector({});
    for (const auto &peer : {B, C, D}) {
        detector.addPeer(peer, Zone("z"));
        detector.recordMessage(peer, Start);
    }
    return detector;
}

TEST_CASE("a peer with a silent link counts as dead only if a majority of the other peers reports it silent")
{
    auto detector = detectorWithThreePeers();
    const auto later = Start + seconds(2);
    detector.recordMessage(C, later);
    detector.recordMessage(D, later);
    CHECK(detector.state(B, later) == PeerState::Suspected);
    detector.recordReport(C, {B}, later);
    CHECK(detector.state(B, later) == PeerState::Suspected);
    detector.recordReport(D, {B}, later);
    CHECK(detector.state(B, later) == PeerState::Dead);
    detector.recordMessage(B, later);
    CHECK(detector.state(B, later) == PeerState::Alive);
}

TEST_CASE("expired reports and reports of silent peers do not make another peer dead")
{
    auto detector = detectorWithThreePeers();
    detector.recordReport(C, {B}, Start);
    detector.recordReport(D, {B}, Start);
    const auto later = Start + seconds(2);
    detector.recordMessage(C, later);
    CHECK(detector.state(B, later) == PeerState::Suspected);
    detector.recordMessage(D, later + seconds(3));
    detector.recordMessage(C, later + seconds(3));
    CHECK(detector.state(B, later + seconds(3)) == PeerState::Suspected);
}

TEST_CASE("an entry whose links to a zone are all silent treats the peers there as partitioned, not dead")
{
    auto detector = detectorWithThreePeers();
    const auto later = Start + seconds(2);
    CHECK(detector.isZonePartitioned(Zone("z"), later));
    CHECK(detector.state(B, later) == PeerState::Partitioned);
    CHECK(detector.silentPeers(later).size() == 3);
    detector.recordMessage(C, later);
    CHECK_FALSE(detector.isZonePartitioned(Zone("z"), later));
}
