#include "tamarackcove/Entry/Coordinator/CoordinatorTask.h"

#include "../Peers/TaskWaits.h"
#include "StorePermits.h"
#include "tamarackcove/Entry/Coordinator/LeastLoadedPlanner.h"
#include "tamarackcove/Entry/Coordinator/ReleaseRounds.h"
#include "tamarackcove/Entry/Coordinator/RemoteZones.h"
#include "tamarackcove/Entry/Coordinator/TargetOrders.h"
#include "tamarackcove/Entry/Coordinator/ViewPublisher.h"
#include "tamarackcove/Entry/Coordinator/ZoneSummaries.h"
#include "tamarackcove/Entry/Peers/PeerLink.h"
#include "tamarackcove/Entry/Peers/PeerNetwork.h"
#include "tamarackcove/Entry/Peers/ZoneFollower.h"
#include "tamarackcove/Membership/TakeoverKnowledge.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Targets/TargetRegistry.h"
#include "tamarackcove/Wire/Codec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

// Requests wait for residency changes, so these do not wait for the next view interval; the spacing lets changes that
// come together share one message.
static constexpr milliseconds UrgentSpacing{10};
static constexpr milliseconds PlanSpacing{5};
// Entries repeat their demand while requests wait.
static constexpr seconds DemandLifetime{2};

struct CoordinatorTask::Impl
{
    Impl(const asio::any_io_executor &executor, const ZoneOptions &zoneOptions, const ZoneHooks &hooksOfZone,
         FencingNumber term, const TakeoverKnowledge &takeover, ZoneFollower &zoneFollower, PeerNetwork &peerNetwork,
         Hooks termHooks);

    void start();
    asio::awaitable<void> publishTask();
    asio::awaitable<void> planTask();
    void publish();
    void plan(TimePoint now);
    void seedFromView(TimePoint now);
    void changed();
    void forgetMetDemand(TimePoint now);
    [[nodiscard]] bool mayLoad(const TargetId &target, const AdapterRef &adapter) const;

    const ZoneOptions &options;
    const ZoneHooks &zoneHooks;
    FencingNumber number;
    /// As it was when the term began.
    TakeoverKnowledge knowledge;
    std::size_t entries;
    ZoneFollower &follower;
    PeerNetwork &network;
    Hooks hooks;
    TimePoint termStart = Clock::now();
    Supervisor supervisor;
    TargetRegistry registry;
    ReleaseRounds rounds;
    TargetOrders orders;
    ViewPublisher publisher;
    StorePermits permits;
    PlannerHooks planner;
    asio::steady_timer publishWake;
    asio::steady_timer planWake;
    bool publishUrgent = false;
    bool planUrgent = false;
    /// Adapters that requests wait for, and when they were last asked for.
    std::map<AdapterRef, TimePoint> unmet;
    ZoneSummaries summaries;
    RemoteZones remoteZones;
};

static TargetRegistry::Options registryOptions(const ZoneOptions &options)
{
    TargetRegistry::Options registry;
    registry.suspectAfter = options.suspectAfter;
    registry.goneAfter = options.goneAfter;
    return registry;
}

CoordinatorTask::Impl::Impl(const asio::any_io_executor &executor, const ZoneOptions &zoneOptions,
                            const ZoneHooks &hooksOfZone, FencingNumber term, const TakeoverKnowledge &takeover,
                            ZoneFollower &zoneFollower, PeerNetwork &peerNetwork, Hooks termHooks)
    : options(zoneOptions)
    , zoneHooks(hooksOfZone)
    , number(term)
    , knowledge(takeover)
    , entries(1
              + static_cast<std::size_t>(std::count_if(options.peers.begin(), options.peers.end(),
                                                       [this](const auto &peer) { return peer.zone == options.zone; })))
    , follower(zoneFollower)
    , network(peerNetwork)
    , hooks(std::move(termHooks))
    , supervisor(executor, "coordinator")
    , registry(registryOptions(options))
    , rounds(options, number, termStart,
             {.broadcast = [this](const ReleaseMessage &message) { network.broadcast(toMessage(message)); },
              .releaseHere =
                  [this](const TargetId &target, const AdapterRef &adapter) {
                      return follower.release(target, adapter, number, Clock::now());
                  }})
    , orders(options, number, termStart, registry, rounds, supervisor,
             {.holdsLease = hooks.holdsLease,
              .noteNumber = hooks.noteNumber,
              .onChange = [this] { changed(); },
              .onReady = [this](const TargetId &target) { publisher.republish(target); },
              .onOrderEnded =
                  [this] {
                      planUrgent = true;
                      planWake.cancel();
                  },
              .loraPath =
                  [this](const AdapterRef &adapter) {
                      return zoneHooks.loraPath ? zoneHooks.loraPath(adapter) : adapter.toString();
                  }})
    , publisher(number, registry,
                [this](const TargetId &target, const AdapterRef &adapter) {
                    return !orders.ready(target)
                        && (!knowledge.complete(entries) || knowledge.released().contains({target, adapter}));
                })
    , permits(executor, options.zone, number, zoneHooks.control,
              [this] {
                  planUrgent = true;
                  planWake.cancel();
              })
    , planner(zoneHooks.makePlanner ? zoneHooks.makePlanner() : makeLeastLoadedPlanner())
    , publishWake(executor)
    , planWake(executor)
    , summaries(number)
    , remoteZones(options, network, publisher)
{
}

CoordinatorTask::CoordinatorTask(const asio::any_io_executor &executor, const ZoneOptions &options,
                                 const ZoneHooks &zoneHooks, FencingNumber number, const TakeoverKnowledge &knowledge,
                                 ZoneFollower &follower, PeerNetwork &network, Hooks hooks)
    : m_impl(
        std::make_unique<Impl>(executor, options, zoneHooks, number, knowledge, follower, network, std::move(hooks)))
{
    m_impl->start();
}

CoordinatorTask::~CoordinatorTask() = default;

void CoordinatorTask::Impl::start()
{
    seedFromView(Clock::now());
    // The first message of a term replaces what the entries know, even when it is the same.
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
    supervisor.start("permit", [this] { return permits.run(); });
    remoteZones.start(supervisor);
}

/// Targets stay usable while they announce themselves to the new coordinator.
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
            // An adapter that was loading or retiring has an unknown state until the target is asked.
            if (state == ResidencyState::Resident) {
                registry.apply(id, adapter, ResidencyEvent::SeenResident, now);
            }
        }
        orders.follow(id);
    }
    (void)registry.takeChanges();
}

asio::awaitable<void> CoordinatorTask::run()
{
    co_await waitUntilCancelled();
    m_impl->summaries.closeAll();
    co_await m_impl->supervisor.stop();
}

void CoordinatorTask::Impl::changed()
{
    publishUrgent = true;
    planUrgent = true;
    publishWake.cancel();
    planWake.cancel();
}

asio::awaitable<void> CoordinatorTask::Impl::publishTask()
{
    auto nextTick = Clock::now() + options.viewInterval;
    auto lastPublish = Clock::now();
    while (true) {
        const auto due = publishUrgent ? std::min(nextTick, lastPublish + UrgentSpacing) : nextTick;
        const auto now = Clock::now();
        if (now < due) {
            publishWake.expires_at(due);
            boost::system::error_code ignored;
            co_await publishWake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        if (now >= nextTick) {
            nextTick = now + options.viewInterval;
            registry.tick(now);
            for (const auto &target : registry.takeContradicted()) {
                orders.readState(target);
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
            planWake.expires_at(next);
            boost::system::error_code ignored;
            co_await planWake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        planUrgent = false;
        next = now + options.planInterval;
        // The planner reads the view, so what changed must be in it.
        publish();
        forgetMetDemand(now);
        plan(now);
        if (!unmet.empty()) {
            next = std::min(next, permits.share().nextStart(now));
        }
        co_await pause(PlanSpacing);
    }
}

void CoordinatorTask::Impl::forgetMetDemand(TimePoint now)
{
    std::erase_if(unmet, [&](const auto &wanted) {
        return now - wanted.second > DemandLifetime || !follower.view().holders(wanted.first).empty();
    });
    // Adapters that are being loaded are among the unmet ones; copies of hot adapters are not.
    permits.setWanted(std::max(static_cast<int>(unmet.size()), permits.share().inFlight()));
}

bool CoordinatorTask::Impl::mayLoad(const TargetId &target, const AdapterRef &adapter) const
{
    if (!orders.ready(target) || registry.stage(target, adapter) != ResidencyStage::Absent) {
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
    auto &share = permits.share();
    const PlanInput input{.view = follower.view(),
                          .now = now,
                          .loadsAllowed = share.nextStart(now) <= now ? 1 : 0,
                          .mayLoad = [this](const TargetId &target, const AdapterRef &adapter) {
                              return mayLoad(target, adapter);
                          }};
    for (const auto &action : planner.plan(input)) {
        if (action.kind == ResidencyActionKind::Load) {
            if (mayLoad(action.target, action.adapter) && share.tryStart(now)) {
                orders.load(action.target, action.adapter, [&share] { share.finished(); });
            }
        } else if (orders.ready(action.target)
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
        impl.orders.follow(announcement.id);
        impl.orders.readState(announcement.id);
        impl.changed();
    }
}

void CoordinatorTask::applyLoads(const std::vector<std::uint32_t> &loads)
{
    const auto now = Clock::now();
    for (std::size_t i = 0; i + 2 < loads.size(); i += 3) {
        if (const auto target = m_impl->registry.byIndex(loads[i])) {
            m_impl->registry.refresh(*target, static_cast<int>(loads[i + 1]), static_cast<int>(loads[i + 2]), now);
        }
    }
}

void CoordinatorTask::noteDemand(const EntryId &from, const LoadDemand &demand)
{
    auto &impl = *m_impl;
    impl.planner.noteDemand(from, demand, Clock::now());
    if (demand.waiting > 0) {
        impl.unmet[demand.adapter] = Clock::now();
        impl.planUrgent = true;
        impl.planWake.cancel();
    }
}

void CoordinatorTask::onReleaseReply(const EntryId &from, std::uint64_t round, bool released)
{
    m_impl->rounds.onReply(from, round, released);
}

void CoordinatorTask::reportBroken(const TargetId &target)
{
    m_impl->orders.readState(target);
}

void CoordinatorTask::sendView(PeerLink &link)
{
    for (const auto &message : m_impl->publisher.full()) {
        link.send(toMessage(message));
    }
}

bool CoordinatorTask::renewView(const EntryId &entry, TimePoint now)
{
    return m_impl->hooks.holdsLease(now) && m_impl->rounds.renewView(entry, now);
}

void CoordinatorTask::addForeign(PeerLink &link)
{
    m_impl->summaries.add(link);
}

void CoordinatorTask::removeForeign(PeerLink &link)
{
    m_impl->summaries.remove(link);
}

FencingNumber CoordinatorTask::number() const
{
    return m_impl->number;
}

} // namespace tamarackcove
