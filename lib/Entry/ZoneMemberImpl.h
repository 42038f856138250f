#pragma once

#include "tamarackcove/Entry/Coordinator/CoordinatorTask.h"
#include "tamarackcove/Entry/Peers/PeerNetwork.h"
#include "tamarackcove/Entry/Peers/ZoneFollower.h"
#include "tamarackcove/Entry/Targets/AnnouncementRelay.h"
#include "tamarackcove/Entry/ZoneMember.h"
#include "tamarackcove/Membership/ConfigurationActivation.h"
#include "tamarackcove/Membership/FailureDetector.h"
#include "tamarackcove/Membership/PriorReleases.h"
#include "tamarackcove/Membership/ZoneElection.h"
#include "tamarackcove/Membership/ZoneVoter.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarackcove {

/// The components of a zone member and the tasks that drive them. The methods are defined in ZoneMember.cpp (life
/// cycle and ZoneAccess), ZoneElectionTask.cpp (lease) and ZoneMessages.cpp (messages between entries).
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
    void onLinkUp(PeerLink &link);
    void onMessage(PeerLink &link, const Message &message);
    [[nodiscard]] Message makeHeartbeat(PeerLink &link);
    [[nodiscard]] milliseconds heartbeatDelay(const PeerLink &link) const;
    void onHeartbeat(PeerLink &link, const Message &message);
    void onView(PeerLink &link, const Message &message);
    void onRelease(PeerLink &link, const Message &message);
    void onAnnounce(const Message &message);
    void onDemand(PeerLink &link, const Message &message);
    void onConfigFetch(PeerLink &link, const Message &message);
    void onConfigPart(const Message &message);
    void onRemoteZoneLinkUp(PeerLink &link);
    void logBadMessage(const PeerLink &link, const Message &message, const std::string &reason) const;

    // ZoneMember.cpp
    boost::asio::awaitable<void> housekeepingTask();
    boost::asio::awaitable<void> demandTask();
    void sendDemand();
    void activateConfiguration();
    void fetchConfiguration();
    [[nodiscard]] std::vector<EntryId> aliveEntries() const;
    [[nodiscard]] bool mayDispatch(TimePoint now) const;

    ZoneOptions options;
    ZoneHooks hooks;
    /// A random number that tells this process from earlier processes of the same entry.
    std::uint64_t session;
    ZoneVoter voter;
    ZoneElection election;
    PriorReleases priorReleases;
    FailureDetector detector;
    ConfigurationActivation configuration;
    ZoneFollower follower;
    AnnouncementRelay relay;
    PeerNetwork network;
    std::unique_ptr<Supervisor> supervisor;
    std::unique_ptr<Timer> electionWake;
    std::unique_ptr<Timer> demandWake;
    std::unique_ptr<CoordinatorTask> coordinator;
    /// Demand that has not been sent to the coordinator yet.
    std::map<AdapterRef, LoadDemand> demand;
    /// The received parts, by index, of the configuration that is being fetched from a peer.
    std::map<std::uint32_t, std::string> configurationParts;
    /// When the configuration was last requested from a peer.
    TimePoint configurationRequestedAt = TimePoint::min();
    /// The fencing number of the last coordinator that gave up its zone lease. A view lease from this coordinator does
    /// not delay the next election.
    FencingNumber resignedFencingNumber;
};

} // namespace tamarackcove
