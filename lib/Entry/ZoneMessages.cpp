#include "ZoneMemberImpl.h"
#include "tamarackcove/Entry/Targets/Announcements.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Wire/Codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarackcove {

// Two of these and their envelope fit a frame.
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

void ZoneMember::Impl::onUp(PeerLink &link)
{
    detector.heard(link.peer(), Clock::now());
    if (coordinator) {
        coordinator->sendView(link);
    }
    if (link.peer() == follower.coordinator()) {
        relay.resetForwarded();
    }
    if (configuration.held() > Revision()) {
        ConfigHoldMessage message;
        message.revision = configuration.held().value();
        link.send(toMessage(message));
    }
}

void ZoneMember::Impl::onDown(PeerLink &link)
{
    if (link.peer() == follower.coordinator()) {
        relay.resetForwarded();
    }
}

void ZoneMember::Impl::onForeignUp(PeerLink &link)
{
    if (coordinator) {
        coordinator->addForeign(link);
    } else {
        link.close();
    }
}

milliseconds ZoneMember::Impl::beatInterval(const PeerLink &link) const
{
    if (options.sharedBeatTimer) {
        return milliseconds::max();
    }
    return coordinator || link.peer() == follower.coordinator() ? options.coordinatorHeartbeatInterval
                                                                : options.heartbeatInterval;
}

Message ZoneMember::Impl::makeBeat(PeerLink &link)
{
    const auto now = Clock::now();
    BeatMessage beat;
    beat.beat = link.noteBeatSent(now);
    beat.echo = link.lastPeerBeat;
    beat.number = follower.number().value();
    beat.heldRevision = configuration.held().value();
    beat.renewsView = coordinator && coordinator->renewView(link.peer(), now);
    for (const auto &peer : detector.silentPeers(now)) {
        beat.silent.push_back(peer.value());
    }
    auto loads = relay.loadsAfter(link.loadsSent, [this](const TargetId &target) { return follower.index(target); });
    link.loadsSent = loads.upTo;
    beat.loads = std::move(loads.triples);
    return toMessage(beat);
}

void ZoneMember::Impl::onMessage(PeerLink &link, const Message &message)
{
    detector.heard(link.peer(), Clock::now());
    if (message.type == BeatMessage::Type) {
        onBeat(link, message);
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
    } else if (message.type == BrokenMessage::Type) {
        const auto broken = fromMessage<BrokenMessage>(message);
        if (broken.has_value() && coordinator) {
            coordinator->reportBroken(TargetId(broken.value().target));
        }
    } else if (message.type == CrashMessage::Type) {
        const auto crash = fromMessage<CrashMessage>(message);
        if (crash.has_value() && hooks.onCrash) {
            hooks.onCrash(TargetId(crash.value().target), Incarnation(crash.value().incarnation),
                          crash.value().fingerprints);
        }
    } else if (message.type == ConfigHoldMessage::Type) {
        const auto hold = fromMessage<ConfigHoldMessage>(message);
        if (hold.has_value()) {
            configuration.peerHolds(link.peer(), Revision(hold.value().revision));
            followConfiguration();
            fetchConfiguration();
        }
    } else {
        logBadMessage(link, message, "unknown type");
    }
}

void ZoneMember::Impl::logBadMessage(const PeerLink &link, const Message &message, const std::string &reason) const
{
    LogLine(LogLevel::Warning, "peer_message_refused")
        .add("peer", link.peer().value())
        .add("type", message.type)
        .add("reason", reason);
}

void ZoneMember::Impl::onBeat(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<BeatMessage>(message);
    if (parsed.has_error()) {
        logBadMessage(link, message, parsed.error().detail);
        return;
    }
    const auto &beat = parsed.value();
    const auto now = Clock::now();
    link.lastPeerBeat = beat.beat;
    std::set<EntryId> silent;
    for (const auto &peer : beat.silent) {
        silent.insert(EntryId(peer));
    }
    detector.report(link.peer(), std::move(silent), now);
    configuration.peerHolds(link.peer(), Revision(beat.heldRevision));
    const FencingNumber number(beat.number);
    if (beat.renewsView && link.peer() == follower.coordinator()) {
        // The lease counts from when the echoed heartbeat left this entry: the coordinator knows it to be later.
        if (const auto sentAt = link.beatSentAt(beat.echo)) {
            follower.extendLease(number, *sentAt + options.viewLease - options.clockMargin);
        }
    }
    if (!beat.loads.empty()) {
        follower.applyLoads(number, beat.loads, now);
        if (coordinator && coordinator->number() == number) {
            coordinator->applyLoads(beat.loads);
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
    voter.noteNumber(follower.number());
    if (follower.number() != before) {
        LogLine(LogLevel::Info, "zone_coordinator")
            .add("entry", link.peer().value())
            .add("number", parsed.value().number);
        relay.resetForwarded();
        // The echo of this heartbeat brings the view lease.
        link.beatNow();
    }
}

void ZoneMember::Impl::onRelease(PeerLink &link, const Message &message)
{
    const auto parsed = fromMessage<ReleaseMessage>(message);
    const auto adapter = parsed.has_value() ? AdapterRef::parse(parsed.value().adapter) : std::nullopt;
    if (!adapter) {
        logBadMessage(link, message, parsed.has_error() ? parsed.error().detail : "adapter is not name@version");
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
    if (parsed.has_error() || configuration.ready()) {
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
    configuration.holdFromPeer(Revision(part.revision), Clock::now());
    if (hooks.onPeerConfiguration) {
        hooks.onPeerConfiguration(Revision(part.revision), bytes);
    }
    followConfiguration();
}

} // namespace tamarackcove
