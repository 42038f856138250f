#include "tamarackcove/Entry/Coordinator/ReleaseRounds.h"

#include "tamarackcove/Entry/Peers/PeerMessages.h"
#include "tamarackcove/Membership/TakeoverKnowledge.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace asio = boost::asio;

namespace tamarackcove {

// A reply wakes a round at once; the interval only notices leases that end.
static constexpr milliseconds CheckInterval{50};

struct ReleaseRounds::Active
{
    Active(const asio::any_io_executor &executor, ReleaseRound::Options options)
        : round(std::move(options), Clock::now())
        , wake(executor)
    {
    }

    ReleaseRound round;
    asio::steady_timer wake;
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
    // An entry that this coordinator never renewed may hold a lease of the one before, which ended before this term.
    const auto renewed = m_renewedAt.find(entry);
    const auto from = renewed == m_renewedAt.end() ? m_termStart : std::max(m_termStart, renewed->second);
    return from + m_options.viewLease;
}

asio::awaitable<bool> ReleaseRounds::run(TargetId target, AdapterRef adapter, ReadRunning readRunning)
{
    ReleaseRound::Options options;
    options.entries = m_entries;
    options.minAnswers = releaseQuorum(m_entries.size());
    options.roundTimeout = m_options.releaseTimeout;
    Active active(co_await asio::this_coro::executor, std::move(options));
    const auto id = ++m_lastRound;
    struct Registration
    {
        ReleaseRounds &rounds;
        std::uint64_t id;
        ~Registration()
        {
            rounds.m_active.erase(id);
        }
    };
    m_active[id] = &active;
    const Registration registration{.rounds = *this, .id = id};
    ReleaseMessage message;
    message.round = id;
    message.number = m_number.value();
    message.target = target.value();
    message.adapter = adapter.toString();
    active.round.onAnswer(m_options.self, m_hooks.releaseHere(target, adapter));
    if (active.round.state(Clock::now()) == ReleaseState::Refused) {
        co_return false;
    }
    m_hooks.broadcast(message);
    while (true) {
        const auto now = Clock::now();
        for (const auto &entry : m_entries) {
            active.round.noteViewLeaseEnd(entry, viewLeaseEnd(entry));
        }
        switch (active.round.state(now)) {
        case ReleaseState::MayEvict:
            co_return true;
        case ReleaseState::Refused:
            co_return false;
        case ReleaseState::NeedsEngineState:
            if (const auto running = co_await readRunning()) {
                active.round.noteEngineState(now, *running);
                if (*running == 0) {
                    continue;
                }
            }
            break;
        case ReleaseState::Waiting:
            break;
        }
        active.wake.expires_after(CheckInterval);
        boost::system::error_code ignored;
        co_await active.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void ReleaseRounds::onReply(const EntryId &from, std::uint64_t round, bool released)
{
    const auto found = m_active.find(round);
    if (found != m_active.end()) {
        found->second->round.onAnswer(from, released);
        found->second->wake.cancel();
    }
}

bool ReleaseRounds::renewView(const EntryId &entry, TimePoint now)
{
    for (const auto &[id, active] : m_active) {
        if (active->round.silentEntries(now).contains(entry)) {
            return false;
        }
    }
    m_renewedAt[entry] = now;
    return true;
}

} // namespace tamarackcove
