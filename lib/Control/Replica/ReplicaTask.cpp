#include "tamarackcove/Control/Replica/ReplicaTask.h"

#include "PeerLinks.h"
#include "ReplicaDriver.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

struct ReplicaTask::Impl
{
    Impl(Supervisor &owner, ReplicaSettings replicaSettings, StateMachineHooks stateMachine, Hooks hooks)
        : supervisor(owner)
        , settings(std::move(replicaSettings))
        , driver(owner.executor(), settings, std::move(stateMachine),
                 {.send = [this](ReplicaMessage message) { links.send(std::move(message)); },
                  .administration = [this](const ReplicaId &id) { return links.administrationOf(id); },
                  .onFatal = std::move(hooks.onFatal),
                  .onLeadershipChange = std::move(hooks.onLeadershipChange),
                  .files = std::move(hooks.files)})
        , links(owner, driver, settings, std::move(hooks.allowsTraffic))
    {
    }

    [[nodiscard]] LogStatus status() const;

    Supervisor &supervisor;
    ReplicaSettings settings;
    ReplicaDriver driver;
    PeerLinks links;
};

/// Returns the host name with the first characters of the identity, which is short enough to read and changes when the
/// disk of the host is replaced.
static ReplicaId displayId(const std::string &name, const ReplicaId &id)
{
    constexpr std::size_t ShownIdentityCharacters = 8;
    return ReplicaId(name + "@" + id.value().substr(0, ShownIdentityCharacters));
}

LogStatus ReplicaTask::Impl::status() const
{
    const auto &replica = driver.replica();
    const auto now = Clock::now();
    LogStatus status;
    status.self = displayId(settings.name, replica.self());
    status.role = toString(replica.role());
    status.term = replica.term();
    status.commitIndex = replica.commitIndex();
    status.appliedIndex = driver.appliedIndex();
    status.leader = links.administrationOf(replica.leader());
    for (const auto &member : replica.group().members) {
        status.replicas.push_back({.id = displayId(member.name, member.id),
                                   .voter = member.voter,
                                   .reachable = replica.reachable(member.id, now),
                                   .matchedIndex = replica.matchedIndex(member.id),
                                   .name = member.name,
                                   .boot = links.bootOf(member.name)});
    }
    status.lossesTolerated = replica.lossesTolerated(now);
    return status;
}

ReplicaTask::ReplicaTask(Supervisor &supervisor, ReplicaSettings settings, StateMachineHooks stateMachine, Hooks hooks)
    : m_impl(std::make_shared<Impl>(supervisor, std::move(settings), std::move(stateMachine), std::move(hooks)))
{
}

ReplicaTask::~ReplicaTask() = default;

Result<void, StorageError> ReplicaTask::open()
{
    if (auto opened = m_impl->driver.open(); opened.has_error()) {
        return opened;
    }
    return m_impl->links.listen();
}

void ReplicaTask::start()
{
    auto &driver = m_impl->driver;
    m_impl->supervisor.start("replica-storage", [&driver] { return driver.runStorage(); });
    m_impl->supervisor.start("replica-timer", [&driver] { return driver.runTimer(); });
    m_impl->links.start();
}

LogClient ReplicaTask::client()
{
    return LogClient{
        .propose = [impl = m_impl](std::string command) { return impl->driver.propose(std::move(command)); },
        .readBarrier = [impl = m_impl] { return impl->driver.readBarrier(); },
        .status = [impl = m_impl] { return impl->status(); },
    };
}

std::uint16_t ReplicaTask::port() const
{
    return m_impl->links.port();
}

void ReplicaTask::setAdministrationEndpoint(Endpoint administration)
{
    m_impl->links.setAdministrationEndpoint(std::move(administration));
}

bool ReplicaTask::leads() const
{
    return m_impl->driver.leads();
}

std::uint64_t ReplicaTask::bytesSent() const
{
    return m_impl->links.bytesSent();
}

asio::awaitable<bool> ReplicaTask::transferLeadership(milliseconds timeout)
{
    constexpr milliseconds PollInterval{10};
    const auto deadline = Clock::now() + timeout;
    auto impl = m_impl;
    auto &replica = impl->driver.replica();
    Timer timer(impl->supervisor.executor());
    while (replica.role() == ReplicaRole::Leader && Clock::now() < deadline) {
        (void)replica.transferLeadership(Clock::now());
        impl->driver.scheduleStep();
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return replica.role() != ReplicaRole::Leader;
}

} // namespace tamarackcove
