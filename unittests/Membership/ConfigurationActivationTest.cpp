#include "tamarackcove/Membership/ConfigurationActivation.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const EntryId B("b");
static const EntryId C("c");

static ConfigurationActivation entryWithTwoPeers()
{
    ConfigurationActivation::Options options;
    options.self = EntryId("a");
    options.peers = {B, C};
    return ConfigurationActivation(options);
}

TEST_CASE("a revision is put in force once a majority of the zone has it or the timeout ends")
{
    auto configuration = entryWithTwoPeers();
    configuration.addRevisionFromControl(Revision(4), Start);
    CHECK_FALSE(configuration.takeRevisionToActivate(Start).has_value());
    configuration.setPeerRevision(B, Revision(4));
    CHECK(configuration.takeRevisionToActivate(Start) == Revision(4));
    CHECK_FALSE(configuration.takeRevisionToActivate(Start).has_value());
    configuration.addRevisionFromControl(Revision(5), Start);
    CHECK_FALSE(configuration.takeRevisionToActivate(Start + milliseconds(1499)).has_value());
    CHECK(configuration.takeRevisionToActivate(Start + milliseconds(1500)) == Revision(5));
}

TEST_CASE("a lower revision from a peer does not replace a higher one")
{
    auto configuration = entryWithTwoPeers();
    configuration.addRevisionFromControl(Revision(4), Start);
    CHECK(configuration.takeRevisionToActivate(Start + seconds(2)) == Revision(4));
    configuration.addRevisionFromPeer(Revision(3), Start + seconds(2));
    CHECK_FALSE(configuration.takeRevisionToActivate(Start + seconds(9)).has_value());
    CHECK(configuration.newestRevision() == Revision(4));
}

TEST_CASE("a restarted entry is ready once it has the newest revision of enough peers")
{
    auto configuration = entryWithTwoPeers();
    CHECK_FALSE(configuration.isRecentEnoughToServe());
    configuration.setPeerRevision(B, Revision(3));
    CHECK_FALSE(configuration.peerToFetchFrom().has_value());
    // A peer without a revision has restarted as well and does not count.
    configuration.setPeerRevision(C, Revision());
    CHECK_FALSE(configuration.peerToFetchFrom().has_value());
    configuration.setPeerRevision(C, Revision(4));
    CHECK(configuration.peerToFetchFrom() == C);
    configuration.addRevisionFromPeer(Revision(3), Start);
    CHECK_FALSE(configuration.isRecentEnoughToServe());
    configuration.addRevisionFromPeer(Revision(4), Start);
    CHECK(configuration.isRecentEnoughToServe());
}
