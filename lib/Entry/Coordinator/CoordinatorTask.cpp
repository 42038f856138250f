#include "tamarackcove/Entry/Coordinator/CoordinatorTask.h"

#include "../Peers/TaskWaits.h"
#include "StorePermitRenewer.h"
#include "tamarackcove/Entry/Coordinator/LeastLoadedPlanner.h"
#include "tamarackcove/Entry/Coordinator/ReleaseRounds.h"
#include "tamarackcove/Entry/Coordinator/RemoteZones.h"
#include "tamarackcove/Entry/Coordinator/TargetOrders.h"
#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"
#include "tamarackcove/Entry/Coordinator/ZoneSummaries.h"
#include "tamarackcove/Entry/Peers/PeerLink.h"
#include "tamarackcove/Entry/Peers/PeerNetwork.h"
#include "tamarackcove/Entry/Peers/ZoneFollower.h"
#include "tamarackcove/Membership/PriorReleases.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Targets/TargetRegistry.h"
#include "tamarackcove/Wire/Codec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

// Requests wait for residency changes, so these are published before the next view interval. Changes within this time
// are combined into one message.
static constexpr milliseconds UrgentSpacing{10};
static constexpr milliseconds PlanSpacing{5};
// Entries repeat a demand while requests wait, so a demand that was not repeated for this long has ended.
static constexpr seconds DemandLifetime{2};

struct CoordinatorTask::Impl
{
    Impl(const asio::any_io_executor &executor, const ZoneOptions &zoneOptions, const ZoneHooks &hooksOfZone,
         FencingNumber term, const PriorReleases &releasesBefore, ZoneFollower &zoneFollower, PeerNetwork &peerNetwork,
         Hooks termHooks);

    void start();
    asio::awaitable<void> publishTask();
    asio::awaitable<void> planTask();
    void publish();
    void plan(TimePoint now);
    void seedFromView(TimePoint now);
    void requestPublishAndPlan();
    void removeMetDemand(TimePoint now);
    [[nodiscard]] bool mayLoad(const TargetId &target, const AdapterRef &adapter) const;

    const ZoneOptions &options;
    const ZoneHooks &zoneHooks;
    FencingNumber number;
    /// The releases to earlier coordinators; copied when the term began.
    PriorReleases priorReleases;
    std::size_t entryCount;
    ZoneFollower &follower;
    PeerNetwork &network;
    Hooks hooks;
    TimePoint termStart = Clock::now();
    Supervisor supervisor;
    TargetRegistry registry;
    ReleaseRounds rounds;
    TargetOrders orders;
    ViewPublisher publisher;
    StorePermitRenewer permitRenewer;
    PlannerHooks planner;
    Timer publishTimer;
    Timer planTimer;
    bool publishUrgent = false;
    bool planUrgent = false;
    /// Adapters that requests wait for, with the time of the last demand for each.
    std::map<AdapterRef, TimePoint> unmetDemand;
    ZoneSummaries summaries;
    RemoteZones remoteZones;
};

static TargetRegistry::Options registryOptions(const ZoneOptions &options)
{
    TargetRegistry::Options registry;
    registry.suspectAfter = options.suspectAfter;
    registry.removeAfter = options.removeAfter;
    return registry;
}

CoordinatorTask::Impl::Impl(const asio::any_io_executor &executor, const ZoneOptions &zoneOptions,
                            const ZoneHooks &hooksOfZone, FencingNumber term, const PriorReleases &releasesBefore,
                            ZoneFollower &zoneFollower, PeerNetwork &peerNetwork, Hooks termHooks)
    : options(zoneOptions)
    , zoneHooks(hooksOfZone)
    , number(term)
    , priorReleases(releasesBefore)
    , entryCount(
          1
          + static_cast<std::size_t>(std::count_if(options.peers.begin(), options.peers.end(),
                                                   [this](const auto &peer) { return peer.zone == options.zone; })))
    , follower(zoneFollower)
    , network(peerNetwork)
    , hooks(std::move(termHooks))
    , supervisor(executor, "coordinator")
    , registry(registryOptions(options))
    , rounds(options, number, termStart,
             {.broadcast = [this](const ReleaseMessage &message) { network.broadcast(toMessage(message)); },
              .releaseLocally =
                  [this](const TargetId &target, const AdapterRef &adapter) {
                      return follower.release(target, adapter, number, Clock::now());
                  }})
    , orders(options, number, termStart, registry, rounds, supervisor,
             {.holdsLease = hooks.holdsLease,
              .recordFencingNumber = hooks.recordFencingNumber,
              .onRegistryChange = [this] { requestPublishAndPlan(); },
              .onReadyForOrders = [this](const TargetId &target) { publisher.republish(target); },
              .onOrderEnded =
                  [this] {
                      planUrgent = true;
                      planTimer.cancel();
                  },
              .loraPath =
                  [this](const AdapterRef &adapter) {
                      return zoneHooks.loraPath ? zoneHooks.loraPath(adapter) : adapter.toString();
                  }})
    , publisher(number, registry,
                [this](const TargetId &target, const AdapterRef &adapter) {
                    return !orders.readyForOrders(target)
                        && (!priorReleases.complete(entryCount)
                            || priorReleases.released().contains({target, adapter}));
                })
    , permitRenewer(executor, options.zone, number, zoneHooks.control,
                    [this] {
                        planUrgent = true;
                        planTimer.cancel();
                    })
    , planner(zoneHooks.makePlanner ? zoneHooks.makePlanner() : makeLeastLoadedPlanner())
    , publishTimer(executor)
    , planTimer(executor)
    , summaries(number)
    , remoteZones(options, network, publisher)
{
}

CoordinatorTask::CoordinatorTask(const asio::any_io_executor &executor, const ZoneOptions &options,
                                 const ZoneHooks &zoneHooks, FencingNumber number, const PriorReleases &priorReleases,
                                 ZoneFollower &follower, PeerNetwork &network, Hooks hooks)
    : m_impl(std::make_unique<Impl>(executor, options, zoneHooks, number, priorReleases, follower, network,
                                    std::move(hooks)))
{
    m_impl->start();
}

CoordinatorTask::~CoordinatorTask() = default;

void CoordinatorTask::Impl::start()
{
    seedFromView(Clock::now());
    // The first message of a term is full: it replaces the view of every entry, even if nothing has changed.
    for (const auto &message : publisher.full()) {
        (void)follower.applyView(options.self, message, Clock::now());
    }
    for (auto *link : network.links()) {
        for (const auto &message : publisher.full()) {
            link->send(toMessage(message));
        }
    }
    supervisor.start("publish", [this] { return publishTask(); });
    supervisor.start("plan", [this] { return planTask(); });
    supervisor.start("permit", [this] { return permitRenewer.run(); });
    remoteZones.start(supervisor);
}

/// Fills the registry from the view of the previous coordinator, so that targets stay usable until they announce
/// themselves to this one.
void CoordinatorTask::Impl::seedFromView(TimePoint now)
{
    for (const auto &[id, target] : follower.view().targets()) {
        Announcement announcement;
        announcement.id = id;
        announcement.incarnation = target.incarnation;
        announcement.zone = options.zone;
        announcement.kind = target.kind;
        announcement.service = target.service;
        announcement.endpoint = target.endpoint;
        announcement.baseModel = target.baseModel;
        announcement.adapterSlots = target.adapterSlots;
        announcement.maxBatch = target.maxBatch;
        announcement.fencing = target.fencing;
        announcement.leaving = target.health == TargetHealth::Leaving;
        announcement.running = target.running;
        announcement.waiting = target.waiting;
        registry.announce(announcement, now);
        for (const auto &[adapter, state] : target.adapters) {
            // The state of an adapter that was loading or retiring is unknown until the target's state is read.
            if (state == ResidencyState::Resident) {
                registry.apply(id, adapter, ResidencyEvent::ReportedResident, now);
            }
        }
        orders.followTarget(id);
    }
    (void)registry.takeChanges();
}

asio::awaitable<void> CoordinatorTask::run()
{
    co_await waitUntilCancelled();
    m_impl->summaries.closeAll();
    co_await m_impl->supervisor.stop();
}

void CoordinatorTask::Impl::requestPublishAndPlan()
{
    publishUrgent = true;
    planUrgent = true;
    publishTimer.cancel();
    planTimer.cancel();
}

asio::awaitable<void> CoordinatorTask::Impl::publishTask()
{
    auto nextTick = Clock::now() + options.viewInterval;
    auto lastPublish = Clock::now();
    while (true) {
        const auto due = publishUrgent ? std::min(nextTick, lastPublish + UrgentSpacing) : nextTick;
        const auto now = Clock::now();
        if (now < due) {
            publishTimer.expires_at(due);
            boost::system::error_code ignored;
            co_await publishTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        if (now >= nextTick) {
            nextTick = now + options.viewInterval;
            registry.tick(now);
            for (const auto &target : registry.takeResidencyMismatches()) {
                orders.requestStateRead(target);
            }
            summaries.update(follower.view(), hooks.aliveEntries());
        }
        publishUrgent = false;
        lastPublish = now;
        publish();
    }
}

void CoordinatorTask::Impl::publish()
{
    const auto message = publisher.takeChanges();
    if (message.empty()) {
        return;
    }
    (void)follower.applyView(options.self, message, Clock::now());
    network.broadcast(toMessage(message));
}

asio::awaitable<void> CoordinatorTask::Impl::planTask()
{
    auto next = Clock::now();
    while (true) {
        const auto now = Clock::now();
        if (!planUrgent && now < next) {
            planTimer.expires_at(next);
            boost::system::error_code ignored;
            co_await planTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        planUrgent = false;
        next = now + options.planInterval;
        // The planner reads the view, so it must contain the latest changes.
        publish();
        removeMetDemand(now);
        plan(now);
        if (!unmetDemand.empty()) {
            next = std::min(next, permitRenewer.loadLimiter().nextStart(now));
        }
        co_await pause(PlanSpacing);
    }
}

void CoordinatorTask::Impl::removeMetDemand(TimePoint now)
{
    std::erase_if(unmetDemand, [&](const auto &wanted) {
        return now - wanted.second > DemandLifetime || !follower.view().holders(wanted.first).empty();
    });
    // Unmet demand includes adapters whose first copy is being loaded, but not additional copies of popular adapters,
    // whose loads are counted while they are in flight.
    permitRenewer.setWanted(std::max(static_cast<int>(unmetDemand.size()), permitRenewer.loadLimiter().inFlight()));
}

bool CoordinatorTask::Impl::mayLoad(const TargetId &target, const AdapterRef &adapter) const
{
    if (!orders.readyForOrders(target) || registry.stage(target, adapter) != ResidencyStage::Absent) {
        return false;
    }
    const auto view = registry.view(target);
    if (view.health != TargetHealth::Serving) {
        return false;
    }
    if (!zoneHooks.baseModel) {
        return true;
    }
    const auto model = zoneHooks.baseModel(adapter);
    return model && *model == view.baseModel;
}

void CoordinatorTask::Impl::plan(TimePoint now)
{
    if (!hooks.holdsLease(now)) {
        return;
    }
    auto &loadLimiter = permitRenewer.loadLimiter();
    const PlanInput input{.view = follower.view(),
                          .now = now,
                          .loadsAllowed = loadLimiter.nextStart(now) <= now ? 1 : 0,
                          .mayLoad = [this](const TargetId &target, const AdapterRef &adapter) {
                              return mayLoad(target, adapter);
                          }};
    for (const auto &action : planner.plan(input)) {
        if (action.kind == ResidencyActionKind::Load) {
            if (mayLoad(action.target, action.adapter) && loadLimiter.tryStart(now)) {
                orders.load(action.target, action.adapter, [&loadLimiter] { loadLimiter.recordLoadEnd(); });
            }
        } else if (orders.readyForOrders(action.target)
                   && registry.stage(action.target, action.adapter) == ResidencyStage::Resident) {
            orders.retire(action.target, action.adapter);
        }
    }
}

void CoordinatorTask::announce(const Announcement &announcement)
{
    auto &impl = *m_impl;
    const auto outcome = impl.registry.announce(announcement, Clock::now());
    if (outcome == TargetRegistry::Outcome::Joined || outcome == TargetRegistry::Outcome::Restarted) {
        LogLine(LogLevel::Info, outcome == TargetRegistry::Outcome::Joined ? "target_joined" : "target_restarted")
            .add("target", announcement.id.value())
            .add("incarnation", announcement.incarnation.value());
        impl.orders.followTarget(announcement.id);
        impl.orders.requestStateRead(announcement.id);
        impl.requestPublishAndPlan();
    }
}

void CoordinatorTask::applyLoads(const std::vector<std::uint32_t> &loads)
{
    const auto now = Clock::now();
    for (std::size_t i = 0; i + 2 < loads.size(); i += 3) {
        if (const auto target = m_impl->registry.byIndex(loads[i])) {
            m_impl->registry.recordLoad(*target, static_cast<int>(loads[i + 1]), static_cast<int>(loads[i + 2]), now);
        }
    }
}

void CoordinatorTask::noteDemand(const EntryId &from, const LoadDemand &demand)
{
    auto &impl = *m_impl;
    impl.planner.noteDemand(from, demand, Clock::now());
    if (demand.waiting > 0) {
        impl.unmetDemand[demand.adapter] = Clock::now();
        impl.planUrgent = true;
        impl.planTimer.cancel();
    }
}

void CoordinatorTask::onReleaseReply(const EntryId &from, std::uint64_t round, bool released)
{
    m_impl->rounds.onReply(from, round, released);
}

void CoordinatorTask::reportUnreachable(const TargetId &target)
{
    m_impl->orders.requestStateRead(target);
}

void CoordinatorTask::sendView(PeerLink &link)
{
    for (const auto &message : m_impl->publisher.full()) {
        link.send(toMessage(message));
    }
}

bool CoordinatorTask::renewViewLease(const EntryId &entry, TimePoint now)
{
    return m_impl->hooks.holdsLease(now) && m_impl->rounds.renewViewLease(entry, now);
}

void CoordinatorTask::addRemoteCoordinator(PeerLink &link)
{
    m_impl->summaries.add(link);
}

void CoordinatorTask::removeRemoteCoordinator(PeerLink &link)
{
    m_impl->summaries.remove(link);
}

FencingNumber CoordinatorTask::number() const
{
    return m_impl->number;
}

} // namespace tamarackcove
