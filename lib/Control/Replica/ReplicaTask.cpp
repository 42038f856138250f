#include "tamarackcove/Control/Replica/ReplicaTask.h"

#include "tamarackcove/Supervision/Supervisor.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

struct ReplicaTask::Impl
{
    Supervisor &supervisor;
    ReplicaSettings settings;
    StateMachineHooks machine;
    Hooks hooks;
    std::uint64_t index = 0;
    bool started = false;
};

ReplicaTask::ReplicaTask(Supervisor &supervisor, ReplicaSettings settings, StateMachineHooks machine, Hooks hooks)
    : m_impl(std::make_shared<Impl>(Impl{supervisor, std::move(settings), std::move(machine), std::move(hooks)}))
{
}

ReplicaTask::~ReplicaTask() = default;

Result<void, StorageError> ReplicaTask::open()
{
    return ok();
}

void ReplicaTask::start()
{
    m_impl->started = true;
    if (m_impl->hooks.onLeadership) {
        m_impl->hooks.onLeadership(true);
    }
}

LogClient ReplicaTask::client()
{
    auto impl = m_impl;
    return LogClient{
        .propose = [impl](std::string command) -> asio::awaitable<Result<std::string, LogError>> {
            co_await asio::post(impl->supervisor.executor(), asio::use_awaitable);
            co_return impl->machine.apply(++impl->index, std::chrono::system_clock::now(), command);
        },
        .readBarrier = [impl]() -> asio::awaitable<Result<void, LogError>> {
            co_await asio::post(impl->supervisor.executor(), asio::use_awaitable);
            co_return ok();
        },
        .status =
            [impl] {
                LogStatus status;
                status.self = ReplicaId(impl->settings.name);
                status.role = "leader";
                status.commitIndex = impl->index;
                status.appliedIndex = impl->index;
                status.leader = impl->settings.administration;
                return status;
            },
    };
}

std::uint16_t ReplicaTask::port() const
{
    return 0;
}

void ReplicaTask::advertise(Endpoint administration)
{
    m_impl->settings.administration = std::move(administration);
}

bool ReplicaTask::leads() const
{
    return m_impl->started;
}

asio::awaitable<bool> ReplicaTask::transferLeadership(milliseconds)
{
    co_return false;
}

} // namespace tamarackcove
