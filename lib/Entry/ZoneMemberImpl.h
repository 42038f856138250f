#pragma once

#include "tamarackcove/Entry/Coordinator/CoordinatorTask.h"
#include "tamarackcove/Entry/Peers/PeerNetwork.h"
#include "tamarackcove/Entry/Peers/ZoneFollower.h"
#include "tamarackcove/Entry/Targets/AnnouncementRelay.h"
#include "tamarackcove/Entry/ZoneMember.h"
#include "tamarackcove/Membership/ConfigurationHold.h"
#include "tamarackcove/Membership/FailureDetector.h"
#include "tamarackcove/Membership/TakeoverKnowledge.h"
#include "tamarackcove/Membership/ZoneElection.h"
#include "tamarackcove/Membership/ZoneVoter.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// The parts of a zone member and the tasks that connect them. The methods are spread over ZoneMember.cpp (life and
/// ZoneAccess), ZoneElectionTask.cpp (lease), ZoneMessages.cpp (messages between entries).
struct ZoneMember::Impl
{
    Impl(ZoneOptions zoneOptions, ZoneHooks zoneHooks, const PinTable &pins);

    // ZoneElectionTask.cpp
    boost::asio::awaitable<void> electionTask();
    boost::asio::awaitable<void> controlVote(ZoneElection::Round round);
    void sendRound(const ZoneElection::Round &round);
    void startTerm();
    [[nodiscard]] bool holdsLease(TimePoint now) const;
    void wakeElection();
    void onVote(PeerLink &link, const Message &message);
    void onVoteReply(PeerLink &link, const Message &message);

    // ZoneMessages.cpp
    [[nodiscard]] HelloMessage hello() const;
    void onUp(PeerLink &link);
    void onDown(PeerLink &link);
    void onMessage(PeerLink &link, const Message &message);
    [[nodiscard]] Message makeBeat(PeerLink &link);
    [[nodiscard]] milliseconds beatInterval(const PeerLink &link) const;
    void onBeat(PeerLink &link, const Message &message);
    void onView(PeerLink &link, const Message &message);
    void onRelease(PeerLink &link, const Message &message);
    void onAnnounce(const Message &message);
    void onDemand(PeerLink &link, const Message &message);
    void onConfigFetch(PeerLink &link, const Message &message);
    void onConfigPart(const Message &message);
    void onForeignUp(PeerLink &link);
    void logBadMessage(const PeerLink &link, const Message &message, const std::string &reason) const;

    // ZoneMember.cpp
    boost::asio::awaitable<void> housekeepingTask();
    boost::asio::awaitable<void> beatTask();
    boost::asio::awaitable<void> demandTask();
    void flushDemand();
    void followConfiguration();
    void fetchConfiguration();
    [[nodiscard]] std::vector<EntryId> aliveEntries() const;
    [[nodiscard]] bool mayDispatch(TimePoint now) const;

    ZoneOptions options;
    ZoneHooks hooks;
    std::uint64_t session;
    ZoneVoter voter;
    ZoneElection election;
    TakeoverKnowledge knowledge;
    FailureDetector detector;
    ConfigurationHold configuration;
    ZoneFollower follower;
    AnnouncementRelay relay;
    PeerNetwork network;
    std::unique_ptr<Supervisor> supervisor;
    std::unique_ptr<boost::asio::steady_timer> electionWake;
    std::unique_ptr<boost::asio::steady_timer> demandWake;
    std::unique_ptr<CoordinatorTask> coordinator;
    std::map<AdapterRef, LoadDemand> demand;
    /// Parts of the configuration that is being fetched from a peer.
    std::map<std::uint32_t, std::string> configurationParts;
    TimePoint fetchedAt = TimePoint::min();
};

} // namespace tamarackcove
