#include "ZoneMemberImpl.h"
#include "tamarackcove/Entry/Targets/Announcements.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/Codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarackcove {

// Two parts of this size and their envelope fit in one frame.
static constexpr std::size_t ConfigPartBytes = 400 * 1024;

HelloMessage ZoneMember::Impl::hello() const
{
    HelloMessage message;
    message.entry = options.self.value();
    message.zone = options.zone.value();
    message.session = session;
    if (mayDispatch(Clock::now())) {
        message.coordinator = coordinator ? options.self.value() : follower.coordinator().value();
    }
    return message;
}

void ZoneMember::Impl::onLinkUp(PeerLink &link)
{
    detector.recordMessage(link.peer(), Clock::now());
    if (coordinator) {
        coordinator->sendView(link);
    }
    if (configuration.newestRevision() > Revision()) {
        HeldRevisionMessage message;
        message.revision = configuration.newestRevision().value();
        link.send(toMessage(message));
    }
}

void ZoneMember::Impl::onRemoteZoneLinkUp(PeerLink &link)
{
    if (coordinator) {
        coordinator->addRemoteCoordinator(link);
    } else {
        link.close();
    }
}

milliseconds ZoneMember::Impl::heartbeatDelay(const PeerLink &link) const
{
    return link.peer() == follower.coordinator() ? options.coordinatorHeartbeatInterval : options.heartbeatInterval;
}

Message ZoneMember::Impl::makeHeartbeat(PeerLink &link)
{
    const auto now = Clock::now();
    HeartbeatMessage heartbeat;
    heartbeat.sequence = link.recordHeartbeatSent(now);
    heartbeat.echo = link.lastPeerHeartbeatNumber;
    heartbeat.number = follower.number().value();
    heartbeat.heldRevision = configuration.newestRevision().value();
    heartbeat.renewsView = coordinator && coordinator->renewViewLease(link.peer(), now);
    for (const auto &peer : detector.silentPeers(now)) {
        heartbeat.silent.push_back(peer.value());
    }
    auto loads = relay.loadFiguresAfter(link.loadFiguresSentUpTo,
                                        [this](const TargetId &target) { return follower.index(target); });
    link.loadFiguresSentUpTo = loads.lastAnnouncement;
    heartbeat.loads = std::move(loads.triples);
    return toMessage(heartbeat);
}

void ZoneMember::Impl::onMessage(PeerLink &link, const Message &message)
{
    detector.recordMessage(link.peer(), Clock::now());
    if (message.type == HeartbeatMessage::Type) {
        onHeartbeat(link, message);
    } else if (message.type == VoteMessage::Type) {
        onVote(link, message);
    } else if (message.type == VoteReplyMessage::Type) {
        onVoteReply(link, message);
    } else if (message.type == ViewMessage::Type) {
        onView(link, message);
    } else if (message.type == ReleaseMessage::Type) {
        onRelease(link, message);
    } else if (message.type == AnnounceMessage::Type) {
        onAnnounce(message);
    } else if (message.type == DemandMessage::Type) {
        onDemand(link, message);
    } else if (message.type == ConfigFetchMessage::Type) {
        onConfigFetch(link, message);
    } else if (message.type == ConfigPartMessage::Type) {
        onConfigPart(message);
    } else if (message.type == ReleaseReplyMessage::Type) {
        const auto reply = fromMessage<ReleaseReplyMessage>(message);
        if (reply.has_value() && coordinator) {
            coordinator->onReleaseReply(link.peer(), reply.value().round, reply.value().released);
        }
    } else if (message.type == UnreachableTargetMessage::Type) {
        const auto unreachable = fromMessage<UnreachableTargetMessage>(message);
        if (unreachable.has_value() && coordinator) {
            coordinator->reportUnreachable(TargetId(unreachable.value().target));
        }
    } else if (message.type == CrashMessage::Type) {
        const auto crash = fromMessage<CrashMessage>(message);
        if (crash.has_value() && hooks.onCrash) {
            hooks.onCrash(TargetId(crash.value().target), Incarnation(crash.value().incarnation),
                          crash.value().fingerprints);
        }
    } else if (message.type == HeldRevisionMessage::Type) {
        const auto reported = fromMessage<HeldRevisionMessage>(message);
        if (reported.has_value()) {
            configuration.setPeerRevision(link.peer(), Revision(reported.value().revision));
            activateConfiguration();
            fetchConfiguration();
        }
    } else {
        logBadMessage(link, message, "unknown message type");
    }
}

void ZoneMember::Impl::logBadMessage(const PeerLink &link, const Message &message, const std::string &reason) const
{
    LogLine(LogLevel::Warning, "peer_message_refused")
        .add("peer", link.peer().value())
        .add("type", message.type)
        .add("reason", reason);
}

void ZoneMember::Impl::onHeartbeat(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<HeartbeatMessage>(message);
    if (parsed.has_error()) {
        logBadMessage(link, message, parsed.error().detail);
        return;
    }
    const auto &heartbeat = parsed.value();
    const auto now = Clock::now();
    link.lastPeerHeartbeatNumber = heartbeat.sequence;
    std::set<EntryId> silent;
    for (const auto &peer : heartbeat.silent) {
        silent.insert(EntryId(peer));
    }
    detector.recordReport(link.peer(), std::move(silent), now);
    configuration.setPeerRevision(link.peer(), Revision(heartbeat.heldRevision));
    const FencingNumber number(heartbeat.number);
    if (coordinator) {
        // The view lease counts from the echoed heartbeat, so the sooner the reply is sent, the longer the remaining
        // lease.
        link.sendHeartbeatNow();
    }
    if (heartbeat.renewsView && link.peer() == follower.coordinator()) {
        // The view lease of this entry starts when it sent the echoed heartbeat. The coordinator counts the same lease
        // from its later reply, so it never considers the lease ended while this entry still dispatches.
        if (const auto sentAt = link.heartbeatSentAt(heartbeat.echo)) {
            follower.extendViewLease(number, *sentAt + options.viewLease - options.clockMargin);
        }
    }
    if (!heartbeat.loads.empty()) {
        follower.applyLoads(number, heartbeat.loads, now);
        if (coordinator && coordinator->number() == number) {
            coordinator->applyLoads(heartbeat.loads);
        }
    }
}

void ZoneMember::Impl::onView(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<ViewMessage>(message);
    if (parsed.has_error()) {
        logBadMessage(link, message, parsed.error().detail);
        return;
    }
    const auto before = follower.number();
    if (!follower.applyView(link.peer(), parsed.value(), Clock::now())) {
        return;
    }
    voter.recordFencingNumber(follower.number());
    if (follower.number() != before) {
        LogLine(LogLevel::Info, "zone_coordinator")
            .add("entry", link.peer().value())
            .add("number", parsed.value().number);
        // The new coordinator grants the view lease when it echoes this heartbeat.
        link.sendHeartbeatNow();
    }
}

void ZoneMember::Impl::onRelease(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<ReleaseMessage>(message);
    const auto adapter = parsed.has_value() ? AdapterRef::parse(parsed.value().adapter) : std::nullopt;
    if (!adapter) {
        logBadMessage(link, message,
                      parsed.has_error() ? parsed.error().detail : "the adapter is not of the form name@version");
        return;
    }
    const auto &release = parsed.value();
    ReleaseReplyMessage reply;
    reply.round = release.round;
    reply.released = follower.release(TargetId(release.target), *adapter, FencingNumber(release.number), Clock::now());
    link.send(toMessage(reply));
}

void ZoneMember::Impl::onAnnounce(const Message &message)
{
    const auto forwarded = fromMessage<AnnounceMessage>(message);
    if (!coordinator || forwarded.has_error()) {
        return;
    }
    const auto announcement = readAnnouncement(forwarded.value().announcement);
    if (announcement.has_value() && validate(announcement.value(), options.zone).has_value()) {
        coordinator->announce(announcement.value());
    }
}

void ZoneMember::Impl::onDemand(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<DemandMessage>(message);
    if (!coordinator || parsed.has_error()) {
        return;
    }
    for (const auto &[name, waiting, highest, oldest, arrivals] : parsed.value().items) {
        if (const auto adapter = AdapterRef::parse(name)) {
            LoadDemand wanted;
            wanted.adapter = *adapter;
            wanted.waiting = waiting;
            wanted.highest = static_cast<Priority>(
                std::clamp(highest, static_cast<int>(Priority::Low), static_cast<int>(Priority::High)));
            wanted.oldestWait = milliseconds(oldest);
            wanted.arrivals = arrivals;
            coordinator->noteDemand(link.peer(), wanted);
        }
    }
}

void ZoneMember::Impl::onConfigFetch(PeerLink &link, const Message &message)
{
    const auto held = hooks.heldConfiguration ? hooks.heldConfiguration() : std::nullopt;
    if (!held || fromMessage<ConfigFetchMessage>(message).has_error()) {
        return;
    }
    const auto &[revision, bytes] = *held;
    const auto parts = std::max<std::size_t>(1, (bytes.size() + ConfigPartBytes - 1) / ConfigPartBytes);
    for (std::size_t part = 0; part < parts; ++part) {
        ConfigPartMessage reply;
        reply.revision = revision.value();
        reply.part = static_cast<std::uint32_t>(part);
        reply.parts = static_cast<std::uint32_t>(parts);
        reply.bytes = bytes.substr(part * ConfigPartBytes, ConfigPartBytes);
        link.send(toMessage(reply));
    }
}

void ZoneMember::Impl::onConfigPart(const Message &message)
{
    auto parsed = fromMessage<ConfigPartMessage>(message);
    if (parsed.has_error() || configuration.isRecentEnoughToServe()) {
        return;
    }
    auto &part = parsed.value();
    if (part.part == 0) {
        configurationParts.clear();
    }
    configurationParts[part.part] = std::move(part.bytes);
    if (configurationParts.size() != part.parts) {
        return;
    }
    std::string bytes;
    for (const auto &[index, piece] : configurationParts) {
        bytes += piece;
    }
    configurationParts.clear();
    configuration.addRevisionFromPeer(Revision(part.revision), Clock::now());
    if (hooks.onPeerConfiguration) {
        hooks.onPeerConfiguration(Revision(part.revision), bytes);
    }
    activateConfiguration();
}

} // namespace tamarackcove
