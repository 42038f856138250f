#include "BenchGroup.h"

#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds PollInterval{1};
static constexpr seconds LeaderTimeout{30};

static StateMachineHooks countingStateMachine(std::uint64_t &applied)
{
    return {.apply =
                [&applied](std::uint64_t, std::chrono::system_clock::time_point, std::string_view) {
                    ++applied;
                    return std::string();
                },
            .saveSnapshot = [&applied] { return std::to_string(applied); },
            .loadSnapshot =
                [&applied](std::string_view bytes) {
                    applied = std::stoull(std::string(bytes));
                }};
}

BenchReplica::BenchReplica(asio::io_context &io, ReplicaSettings settings, std::function<bool()> allowsTraffic)
    : supervisor(io.get_executor(), settings.name)
    , task(supervisor, std::move(settings), countingStateMachine(applied),
           {.allowsTraffic = [allowsTraffic = std::move(allowsTraffic)](const std::string &) {
               return allowsTraffic();
           }})
{
    if (const auto opened = task.open(); opened.has_error()) {
        throw std::runtime_error(opened.error().detail);
    }
    task.start();
    log = task.client();
}

BenchGroup::BenchGroup(asio::io_context &io, std::filesystem::path folder, int size)
    : m_io(io)
    , m_folder(std::move(folder))
{
    std::filesystem::remove_all(m_folder);
    for (int i = 0; i < size; ++i) {
        asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        m_ports.push_back(acceptor.local_endpoint().port());
    }
    m_replicas.resize(m_ports.size());
    for (int i = 0; i < size; ++i) {
        start(i);
    }
}

BenchGroup::~BenchGroup()
{
    m_replicas.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void BenchGroup::start(int index)
{
    ReplicaSettings settings;
    settings.name = "c" + std::to_string(index);
    settings.dataFolder = m_folder / settings.name;
    for (std::size_t other = 0; other < m_ports.size(); ++other) {
        const Endpoint endpoint{"127.0.0.1", m_ports[other]};
        if (other == static_cast<std::size_t>(index)) {
            settings.listen = endpoint;
        } else {
            settings.peers.push_back({"c" + std::to_string(other), endpoint});
        }
    }
    m_replicas[static_cast<std::size_t>(index)]
        = std::make_unique<BenchReplica>(m_io, std::move(settings), [this, index] { return m_isolated != index; });
}

asio::awaitable<void> BenchGroup::stop(int index)
{
    auto &replica = m_replicas[static_cast<std::size_t>(index)];
    if (replica) {
        co_await replica->supervisor.stop();
        replica.reset();
    }
}

asio::awaitable<void> BenchGroup::stopAll()
{
    for (int i = 0; i < static_cast<int>(m_replicas.size()); ++i) {
        co_await stop(i);
    }
}

void BenchGroup::isolate(std::optional<int> index)
{
    m_isolated = index;
}

asio::awaitable<int> BenchGroup::waitForLeader(int excluded)
{
    Timer timer(m_io);
    for (const auto deadline = Clock::now() + LeaderTimeout; Clock::now() < deadline;) {
        for (int i = 0; i < static_cast<int>(m_replicas.size()); ++i) {
            const auto &replica = m_replicas[static_cast<std::size_t>(i)];
            if (i != excluded && replica && replica->task.leads()) {
                co_return i;
            }
        }
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return -1;
}

asio::awaitable<void> BenchGroup::waitUntilCaughtUp(int leader)
{
    Timer timer(m_io);
    const auto fullTolerance = (static_cast<int>(m_ports.size()) - 1) / 2;
    while (at(leader).task.leads() && at(leader).log.status().lossesTolerated < fullTolerance) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

BenchReplica &BenchGroup::at(int index)
{
    return *m_replicas[static_cast<std::size_t>(index)];
}

std::uint64_t BenchGroup::bytesSent() const
{
    std::uint64_t bytes = 0;
    for (const auto &replica : m_replicas) {
        bytes += replica ? replica->task.bytesSent() : 0;
    }
    return bytes;
}

} // namespace tamarackcove
