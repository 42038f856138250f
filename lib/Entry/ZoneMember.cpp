#include "tamarackcove/Entry/ZoneMember.h"

#include "Peers/TaskWaits.h"
#include "ZoneMemberImpl.h"
#include "tamarackcove/Entry/Targets/Announcements.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Wire/Codec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds HousekeepingInterval{1000};
// Demand of requests that arrive within this interval is sent in one message.
static constexpr milliseconds DemandBatchInterval{10};
static constexpr milliseconds ConfigurationFetchInterval{1000};

static std::size_t zoneEntryCount(const ZoneOptions &options)
{
    return 1
        + static_cast<std::size_t>(std::count_if(options.peers.begin(), options.peers.end(),
                                                 [&](const auto &peer) { return peer.zone == options.zone; }));
}

static ZoneOptions withoutSelf(ZoneOptions options)
{
    std::erase_if(options.peers, [&options](const ZonePeer &peer) { return peer.id == options.self; });
    return options;
}

static ZoneElection::Options electionOptions(const ZoneOptions &options, std::uint64_t session)
{
    ZoneElection::Options election;
    election.self = options.self;
    election.voters.insert(options.self);
    for (const auto &peer : options.peers) {
        if (peer.zone == options.zone) {
            election.voters.insert(peer.id);
        }
    }
    if (controlGroupVotes(zoneEntryCount(options))) {
        election.voters.insert(controlGroupVoter());
    }
    election.lease = options.lease;
    election.renewInterval = options.renewInterval;
    election.clockMargin = options.clockMargin;
    election.session = session;
    election.seed = session;
    election.lowestNumber = [] {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        return FencingNumber(static_cast<std::uint64_t>(duration_cast<milliseconds>(wall).count()));
    };
    return election;
}

static TimePoint firstVoteTime(const ZoneOptions &options)
{
    // Before a restart, this entry may have granted a vote to another entry, so after a start it votes only when the
    // lease that such a vote allowed must have ended. The only entry of a zone has no other entry to vote for and need
    // not wait.
    return zoneEntryCount(options) == 1 ? TimePoint::min() : Clock::now() + options.lease;
}

static ConfigurationActivation::Options activationOptions(const ZoneOptions &options)
{
    ConfigurationActivation::Options activation;
    activation.self = options.self;
    for (const auto &peer : options.peers) {
        if (peer.zone == options.zone) {
            activation.peers.insert(peer.id);
        }
    }
    activation.timeout = options.configurationActivationTimeout;
    return activation;
}

ZoneMember::Impl::Impl(ZoneOptions zoneOptions, ZoneHooks zoneHooks, const PinTable &pins)
    : options(withoutSelf(std::move(zoneOptions)))
    , hooks(std::move(zoneHooks))
    // 32 bits, because every vote message contains the session.
    , session((std::random_device{}() ^ options.seed) & 0xffffffffU)
    , voter(firstVoteTime(options))
    , election(electionOptions(options, session), Clock::now())
    , detector(FailureDetector::Options{.silentAfter = options.linkReceiveTimeout})
    , configuration(activationOptions(options))
    , follower(options.zone, pins, ReleaseRecords(Clock::now(), options.releaseTimeout + options.orderDeadline))
    , network(options,
              {.hello = [this] { return hello(); },
               .onLinkUp = [this](PeerLink &link) { onLinkUp(link); },
               .onMessage = [this](PeerLink &link, const Message &message) { onMessage(link, message); },
               .makeHeartbeat = [this](PeerLink &link) { return makeHeartbeat(link); },
               .heartbeatDelay = [this](const PeerLink &link) { return heartbeatDelay(link); },
               .onRemoteZoneLinkUp = [this](PeerLink &link) { onRemoteZoneLinkUp(link); },
               .onRemoteZoneLinkDown =
                   [this](PeerLink &link) {
                       if (coordinator) {
                           coordinator->removeRemoteCoordinator(link);
                       }
                   }})
{
    for (const auto &peer : options.peers) {
        if (peer.zone == options.zone) {
            detector.addPeer(peer.id, peer.zone);
        }
    }
}

ZoneMember::ZoneMember(ZoneOptions options, ZoneHooks hooks, const PinTable &pins)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks), pins))
{
}

ZoneMember::~ZoneMember() = default;

Result<void, std::string> ZoneMember::listen(const asio::any_io_executor &executor)
{
    m_impl->supervisor = std::make_unique<Supervisor>(executor, "zone");
    m_impl->electionWake = std::make_unique<Timer>(executor);
    m_impl->demandWake = std::make_unique<Timer>(executor);
    return m_impl->network.listen(executor);
}

std::uint16_t ZoneMember::port() const
{
    return m_impl->network.port();
}

asio::awaitable<void> ZoneMember::run()
{
    auto &impl = *m_impl;
    impl.network.start(*impl.supervisor);
    impl.supervisor->start("housekeeping", [&impl] { return impl.housekeepingTask(); });
    impl.supervisor->start("demand", [&impl] { return impl.demandTask(); });
    impl.supervisor->start("election", [&impl] { return impl.electionTask(); });
    co_await waitUntilCancelled();
    co_await impl.supervisor->stop();
}

asio::awaitable<void> ZoneMember::resignLease()
{
    auto &impl = *m_impl;
    const auto round = impl.election.resign();
    impl.wakeElection();
    co_await impl.supervisor->stopChild("coordinator");
    if (round) {
        impl.sendRound(*round);
        // The links write queued messages in their own tasks; the pause gives them time to write the release.
        co_await pause(milliseconds(50));
    }
}

asio::awaitable<void> ZoneMember::Impl::housekeepingTask()
{
    while (true) {
        const auto now = Clock::now();
        follower.tick(now);
        relay.tick(now);
        activateConfiguration();
        fetchConfiguration();
        auto next = now + HousekeepingInterval;
        if (const auto deadline = configuration.nextDeadline()) {
            next = std::min(next, std::max(*deadline, now));
        }
        co_await pause(next - now);
    }
}

void ZoneMember::Impl::activateConfiguration()
{
    if (const auto revision = configuration.takeRevisionToActivate(Clock::now()); revision && hooks.onActivate) {
        hooks.onActivate(*revision);
    }
}

void ZoneMember::Impl::fetchConfiguration()
{
    const auto peer = configuration.peerToFetchFrom();
    const auto now = Clock::now();
    if (!peer || !hooks.onPeerConfiguration
        || (configurationRequestedAt != TimePoint::min()
            && now - configurationRequestedAt < ConfigurationFetchInterval)) {
        return;
    }
    configurationRequestedAt = now;
    configurationParts.clear();
    (void)network.send(*peer, toMessage(ConfigFetchMessage()));
}

asio::awaitable<void> ZoneMember::Impl::demandTask()
{
    while (true) {
        if (demand.empty()) {
            demandWake->expires_at(TimePoint::max());
            boost::system::error_code ignored;
            co_await demandWake->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        sendDemand();
        co_await pause(DemandBatchInterval);
    }
}

void ZoneMember::Impl::sendDemand()
{
    if (coordinator) {
        for (const auto &[adapter, wanted] : demand) {
            coordinator->noteDemand(options.self, wanted);
        }
        demand.clear();
        return;
    }
    DemandMessage message;
    for (const auto &[adapter, wanted] : demand) {
        message.items.emplace_back(adapter.toString(), wanted.waiting, static_cast<int>(wanted.highest),
                                   wanted.oldestWait.count(), wanted.arrivals);
    }
    // The demand is lost without a link to the coordinator. The request path reports it again while requests wait.
    (void)network.send(follower.coordinator(), toMessage(message));
    demand.clear();
}

std::vector<EntryId> ZoneMember::Impl::aliveEntries() const
{
    const auto now = Clock::now();
    std::vector<EntryId> alive{options.self};
    for (const auto &peer : detector.peers(options.zone)) {
        const auto state = detector.state(peer, now);
        if (state == PeerState::Alive || state == PeerState::Suspected) {
            alive.push_back(peer);
        }
    }
    return alive;
}

bool ZoneMember::Impl::mayDispatch(TimePoint now) const
{
    return coordinator ? holdsLease(now) : follower.mayDispatch(now);
}

ZoneAccess ZoneMember::access()
{
    auto &impl = *m_impl;
    ZoneAccess access;
    access.view = [&impl]() -> const ZoneView & {
        return impl.follower.view();
    };
    access.mayDispatch = [&impl](TimePoint now) {
        return impl.mayDispatch(now);
    };
    access.demand = [&impl](const LoadDemand &wanted) {
        auto &pending = impl.demand[wanted.adapter];
        const auto arrivals = pending.arrivals + wanted.arrivals;
        pending = wanted;
        pending.arrivals = arrivals;
        if (impl.demandWake) {
            impl.demandWake->cancel();
        }
    };
    access.reachableZones = [&impl] {
        std::vector<Zone> zones{impl.options.zone};
        for (const auto &[zone, entries] : impl.follower.remoteEntries()) {
            if (!entries.empty()) {
                zones.push_back(zone);
            }
        }
        return zones;
    };
    access.entries = [&impl](const Zone &zone) {
        std::vector<Endpoint> endpoints;
        const auto alive = impl.follower.remoteEntries().find(zone);
        if (alive == impl.follower.remoteEntries().end()) {
            return endpoints;
        }
        for (const auto &peer : impl.options.peers) {
            if (peer.zone == zone
                && std::find(alive->second.begin(), alive->second.end(), peer.id) != alive->second.end()) {
                endpoints.push_back(peer.http);
            }
        }
        return endpoints;
    };
    access.reportUnreachable = [&impl](const TargetId &target) {
        if (impl.coordinator) {
            impl.coordinator->reportUnreachable(target);
            return;
        }
        UnreachableTargetMessage message;
        message.target = target.value();
        (void)impl.network.send(impl.follower.coordinator(), toMessage(message));
    };
    return access;
}

static HttpResponse announcementError(const std::string &reason)
{
    const nlohmann::json body = {
        {"error",
         {{"message", reason}, {"type", "invalid_request_error"}, {"code", "bad_announcement"}, {"param", nullptr}}}};
    return jsonResponse(400, body.dump());
}

HttpResponse ZoneMember::announce(const HttpRequest &request)
{
    auto &impl = *m_impl;
    const auto parsed = parseAnnouncement(request.body);
    if (parsed.has_error()) {
        return announcementError(parsed.error());
    }
    const auto &announcement = parsed.value();
    const auto valid = validate(announcement, impl.options.zone);
    if (valid.has_error()) {
        return announcementError(valid.error());
    }
    const auto now = Clock::now();
    const bool changed = impl.relay.recordAnnouncement(announcement, impl.follower.view().find(announcement.id), now);
    if (impl.coordinator) {
        impl.coordinator->announce(announcement);
    } else if (changed) {
        AnnounceMessage message;
        message.announcement = writeAnnouncement(announcement);
        // The announcement is lost without a link to the coordinator. The target announces itself again in a second.
        (void)impl.network.send(impl.follower.coordinator(), toMessage(message));
    }
    impl.follower.setLoad(announcement.id, announcement.running, announcement.waiting, now);
    return jsonResponse(200, "{}");
}

void ZoneMember::announceHeldRevision(Revision revision)
{
    auto &impl = *m_impl;
    impl.configuration.addRevisionFromControl(revision, Clock::now());
    HeldRevisionMessage message;
    message.revision = revision.value();
    impl.network.broadcast(toMessage(message));
    impl.activateConfiguration();
}

void ZoneMember::reportCrash(const TargetId &target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints)
{
    auto &impl = *m_impl;
    CrashMessage message;
    message.target = target.value();
    message.incarnation = incarnation.value();
    message.fingerprints = fingerprints;
    impl.network.broadcast(toMessage(message));
    if (impl.hooks.control.reportCrash) {
        impl.hooks.control.reportCrash(target, incarnation, std::move(fingerprints));
    }
}

bool ZoneMember::configurationReady() const
{
    return m_impl->configuration.isRecentEnoughToServe();
}

bool ZoneMember::isCoordinator() const
{
    return m_impl->coordinator != nullptr && m_impl->holdsLease(Clock::now());
}

PeerTraffic ZoneMember::traffic() const
{
    return m_impl->network.traffic();
}

void ZoneMember::writeMetrics(Metrics &metrics) const
{
    const auto &impl = *m_impl;
    const auto traffic = impl.network.traffic();
    metrics.gauge("zone_peer_bytes_read", static_cast<double>(traffic.bytesRead));
    metrics.gauge("zone_peer_bytes_written", static_cast<double>(traffic.bytesWritten));
    metrics.gauge("zone_peer_messages_read", static_cast<double>(traffic.messagesRead));
    metrics.gauge("zone_peer_messages_written", static_cast<double>(traffic.messagesWritten));
    metrics.gauge("zone_coordinator", isCoordinator() ? 1 : 0);
    metrics.gauge("zone_may_dispatch", impl.mayDispatch(Clock::now()) ? 1 : 0);
    metrics.gauge("zone_targets", static_cast<double>(impl.follower.view().targets().size()));
    metrics.gauge("zone_entries_alive", static_cast<double>(impl.aliveEntries().size()));
    metrics.gauge("zone_fencing_number", static_cast<double>(impl.follower.number().value()));
    metrics.gauge("zone_configuration_revision", static_cast<double>(impl.configuration.newestRevision().value()));
}

} // namespace tamarackcove
