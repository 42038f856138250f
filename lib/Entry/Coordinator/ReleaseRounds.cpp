#include "tamarackcove/Entry/Coordinator/ReleaseRounds.h"

#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Membership/PriorReleases.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

// A reply of an entry wakes the release round at once. The interval bounds how late the round notices the end of a view
// lease or of its timeout.
static constexpr milliseconds CheckInterval{50};

struct ReleaseRounds::ActiveRound
{
    ActiveRound(const asio::any_io_executor &executor, ReleaseRound::Options options)
        : round(std::move(options), Clock::now())
        , wake(executor)
    {
    }

    ReleaseRound round;
    Timer wake;
};

ReleaseRounds::ReleaseRounds(const ZoneOptions &options, FencingNumber number, TimePoint termStart, Hooks hooks)
    : m_options(options)
    , m_number(number)
    , m_termStart(termStart)
    , m_hooks(std::move(hooks))
    , m_entries{options.self}
{
    for (const auto &peer : options.peers) {
        if (peer.zone == options.zone) {
            m_entries.insert(peer.id);
        }
    }
}

ReleaseRounds::~ReleaseRounds() = default;

TimePoint ReleaseRounds::viewLeaseEnd(const EntryId &entry) const
{
    // An entry whose lease this coordinator never renewed may have a view lease from the previous coordinator, whose
    // zone lease ended before this term began, so that view lease was granted no later than termStart.
    const auto renewed = m_viewLeaseRenewedAt.find(entry);
    const auto from = renewed == m_viewLeaseRenewedAt.end() ? m_termStart : std::max(m_termStart, renewed->second);
    return from + m_options.viewLease;
}

asio::awaitable<bool> ReleaseRounds::releaseAdapter(TargetId target, AdapterRef adapter,
                                                    CountRunningRequests countRunningRequests)
{
    ReleaseRound::Options options;
    options.entries = m_entries;
    options.minReleases = releaseQuorum(m_entries.size());
    options.roundTimeout = m_options.releaseTimeout;
    ActiveRound activeRound(co_await asio::this_coro::executor, std::move(options));
    const auto id = ++m_lastRoundId;
    struct Registration
    {
        ReleaseRounds &rounds;
        std::uint64_t id;
        ~Registration()
        {
            rounds.m_activeRounds.erase(id);
        }
    };
    m_activeRounds[id] = &activeRound;
    const Registration registration{.rounds = *this, .id = id};
    ReleaseMessage message;
    message.round = id;
    message.number = m_number.value();
    message.target = target.value();
    message.adapter = adapter.toString();
    activeRound.round.onAnswer(m_options.self, m_hooks.releaseLocally(target, adapter));
    if (activeRound.round.state(Clock::now()) == ReleaseState::Refused) {
        co_return false;
    }
    m_hooks.broadcast(message);
    while (true) {
        const auto now = Clock::now();
        for (const auto &entry : m_entries) {
            activeRound.round.setViewLeaseEnd(entry, viewLeaseEnd(entry));
        }
        switch (activeRound.round.state(now)) {
        case ReleaseState::MayEvict:
            co_return true;
        case ReleaseState::Refused:
            co_return false;
        case ReleaseState::NeedsEngineState:
            if (const auto running = co_await countRunningRequests()) {
                activeRound.round.recordEngineState(now, *running);
                if (*running == 0) {
                    continue;
                }
            }
            break;
        case ReleaseState::Waiting:
            break;
        }
        activeRound.wake.expires_after(CheckInterval);
        boost::system::error_code ignored;
        co_await activeRound.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void ReleaseRounds::onReply(const EntryId &from, std::uint64_t round, bool released)
{
    const auto found = m_activeRounds.find(round);
    if (found != m_activeRounds.end()) {
        found->second->round.onAnswer(from, released);
        found->second->wake.cancel();
    }
}

bool ReleaseRounds::renewViewLease(const EntryId &entry, TimePoint now)
{
    for (const auto &[id, activeRound] : m_activeRounds) {
        if (activeRound->round.silentEntries(now).contains(entry)) {
            return false;
        }
    }
    m_viewLeaseRenewedAt[entry] = now;
    return true;
}

} // namespace tamarackcove
