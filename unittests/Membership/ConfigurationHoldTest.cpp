#include "tamarackcove/Membership/ConfigurationHold.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const EntryId B("b");
static const EntryId C("c");

static ConfigurationHold entryWithTwoPeers()
{
    ConfigurationHold::Options options;
    options.self = EntryId("a");
    options.peers = {B, C};
    return ConfigurationHold(options);
}

TEST_CASE("a revision is put in force once a majority of the zone has it or the timeout ends")
{
    auto configuration = entryWithTwoPeers();
    configuration.holdFromControl(Revision(4), Start);
    CHECK_FALSE(configuration.takeActivated(Start).has_value());
    configuration.peerHolds(B, Revision(4));
    CHECK(configuration.takeActivated(Start) == Revision(4));
    CHECK_FALSE(configuration.takeActivated(Start).has_value());
    configuration.holdFromControl(Revision(5), Start);
    CHECK_FALSE(configuration.takeActivated(Start + milliseconds(1499)).has_value());
    CHECK(configuration.takeActivated(Start + milliseconds(1500)) == Revision(5));
}

TEST_CASE("a lower revision from a peer does not replace a higher one")
{
    auto configuration = entryWithTwoPeers();
    configuration.holdFromControl(Revision(4), Start);
    CHECK(configuration.takeActivated(Start + seconds(2)) == Revision(4));
    configuration.holdFromPeer(Revision(3), Start + seconds(2));
    CHECK_FALSE(configuration.takeActivated(Start + seconds(9)).has_value());
    CHECK(configuration.held() == Revision(4));
}

TEST_CASE("a restarted entry is ready once it has the newest revision of enough peers")
{
    auto configuration = entryWithTwoPeers();
    CHECK_FALSE(configuration.ready());
    configuration.peerHolds(B, Revision(3));
    CHECK_FALSE(configuration.fetchFrom().has_value());
    // A peer without a revision has restarted as well and does not count.
    configuration.peerHolds(C, Revision());
    CHECK_FALSE(configuration.fetchFrom().has_value());
    configuration.peerHolds(C, Revision(4));
    CHECK(configuration.fetchFrom() == C);
    configuration.holdFromPeer(Revision(3), Start);
    CHECK_FALSE(configuration.ready());
    configuration.holdFromPeer(Revision(4), Start);
    CHECK(configuration.ready());
}
