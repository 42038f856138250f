#include "ZoneBench.h"

#include "tamarackcove/Entry/ZoneMember.h"
#include "tamarackcove/Http/HttpResponder.h"
#include "tamarackcove/Http/HttpServer.h"
#include "tamarackcove/Requests/PinTable.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"
#include "tamarackcove/Targets/ZoneView.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <sys/resource.h>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace tamarackcove {

static constexpr int SlotsPerTarget = 8;

namespace {

/// One entry of the measured zone, with the pin table that its ZoneMember refers to.
struct BenchEntry
{
    explicit BenchEntry(ZoneOptions options)
        : zone(std::move(options), {}, pins)
        , access(zone.access())
    {
    }

    PinTable pins;
    ZoneMember zone;
    ZoneAccess access;
};

/// Stands in for all engines of the zone. Each load or unload order succeeds immediately.
class StubEngineServer
{
public:
    explicit StubEngineServer(Supervisor &root)
        : m_connections(root.executor(), "engines")
        , m_server(m_connections, {},
                   [this](const HttpRequest &request, HttpResponder &responder) { return handle(request, responder); })
    {
        (void)m_server.listen({.host = "127.0.0.1", .port = 0});
        root.start("engines", [this] { return m_server.run(); });
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }
    int loadRequests = 0;

private:
    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        loadRequests += request.target == "/v1/load_lora_adapter" ? 1 : 0;
        auto response = jsonResponse(200, R"({"incarnation":1,"fencing_number":0,"adapters":[]})");
        (void)co_await responder.send(std::move(response));
    }

    Supervisor m_connections;
    HttpServer m_server;
};

/// Returns ports that were free a moment ago. All acceptors stay open until the last port is known, so that no port is
/// returned twice.
std::vector<std::uint16_t> freePorts(std::size_t count)
{
    asio::io_context io;
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        acceptors.emplace_back(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        ports.push_back(acceptors.back().local_endpoint().port());
    }
    return ports;
}

Duration processCpuTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto toDuration = [](const timeval &value) {
        return seconds(value.tv_sec) + microseconds(value.tv_usec);
    };
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

HttpRequest announcement(int target, std::uint16_t port, int running)
{
    nlohmann::json body;
    body["id"] = "engine-" + std::to_string(target);
    body["incarnation"] = 1;
    body["zone"] = "a";
    body["kind"] = "engine";
    body["host"] = "127.0.0.1";
    body["port"] = port;
    body["base_model"] = "base";
    body["adapter_slots"] = SlotsPerTarget;
    body["max_batch"] = 32;
    body["fencing"] = "refuses";
    body["running"] = running;
    body["waiting"] = 0;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/targets/announce";
    request.body = body.dump();
    return request;
}

/// Runs one case: starts the entries, the announcements of the targets and the demand for loads, then measures.
class Bench
{
public:
    Bench(const ZoneBenchCase &parameters, Supervisor &root)
        : m_parameters(parameters)
        , m_root(root)
        , m_engines(root)
    {
    }

    asio::awaitable<ZoneBenchResult> run()
    {
        startMembers();
        m_root.start("announce", [this] { return announceTask(); });
        co_await waitUntilZoneReady();
        if (m_parameters.loadsPerSecond > 0) {
            m_root.start("demand", [this] { return demandTask(); });
        }
        // Excludes the first full views and the first reads of the engine states from the measurement, because they do
        // not belong to the steady state.
        co_await sleep(seconds(4));
        const auto before = snapshot();
        co_await sleep(m_parameters.duration);
        co_return averagesBetween(before, snapshot());
    }

private:
    struct Snapshot
    {
        TimePoint takenAt;
        Duration cpuTime{};
        std::vector<PeerTraffic> traffic;
        int loadRequests = 0;
    };

    asio::awaitable<void> sleep(Duration duration)
    {
        Timer timer(m_root.executor(), duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    void startMembers()
    {
        const auto ports = freePorts(static_cast<std::size_t>(m_parameters.entries));
        std::vector<ZonePeer> peers;
        for (std::size_t i = 0; i < ports.size(); ++i) {
            ZonePeer peer;
            peer.id = EntryId("entry-" + std::to_string(i));
            peer.zone = Zone("a");
            peer.peer = {.host = "127.0.0.1", .port = ports[i]};
            peers.push_back(peer);
        }
        for (std::size_t i = 0; i < ports.size(); ++i) {
            ZoneOptions options;
            options.self = peers[i].id;
            options.zone = Zone("a");
            options.listen = peers[i].peer;
            options.peers = peers;
            options.seed = i + 1;
            auto member = std::make_unique<BenchEntry>(std::move(options));
            const auto listening = member->zone.listen(m_root.executor());
            if (listening.has_error()) {
                throw std::runtime_error(listening.error());
            }
            auto *startedMember = member.get();
            m_root.start(peers[i].id.value(), [startedMember] { return startedMember->zone.run(); });
            m_members.push_back(std::move(member));
        }
    }

    [[nodiscard]] BenchEntry *coordinator() const
    {
        const auto found = std::find_if(m_members.begin(), m_members.end(),
                                        [](const auto &member) { return member->zone.isCoordinator(); });
        return found == m_members.end() ? nullptr : found->get();
    }

    asio::awaitable<void> waitUntilZoneReady()
    {
        const auto deadline = Clock::now() + seconds(30);
        while (true) {
            const bool ready = coordinator() != nullptr
                && std::all_of(m_members.begin(), m_members.end(), [this](const auto &member) {
                                   return member->access.mayDispatch(Clock::now())
                                       && std::ssize(member->access.view().targets()) == m_parameters.targets;
                               });
            if (ready) {
                co_return;
            }
            if (Clock::now() > deadline) {
                throw std::runtime_error("the zone was not ready within 30 s: it needs a coordinator, and every entry "
                                         "must dispatch and see all targets");
            }
            co_await sleep(milliseconds(20));
        }
    }

    /// Announces every target once a second, each time to the next entry in turn, as the simulated engines do. The
    /// announcements of a second are spread over `Slices` equal intervals.
    asio::awaitable<void> announceTask()
    {
        constexpr int Slices = 20;
        for (int tick = 0;; ++tick) {
            for (int target = tick % Slices; target < m_parameters.targets; target += Slices) {
                const auto entry = static_cast<std::size_t>(target + tick / Slices) % m_members.size();
                (void)m_members[entry]->zone.announce(announcement(target, m_engines.port(), (target + tick) % 30));
            }
            co_await sleep(milliseconds(1000) / Slices);
        }
    }

    /// Reports demand for one more adapter `loadsPerSecond` times a second, to each entry in turn.
    asio::awaitable<void> demandTask()
    {
        for (int number = 0;; ++number) {
            LoadDemand demand;
            demand.adapter = AdapterRef("adapter-" + std::to_string(number % 100000), "1");
            demand.waiting = 1;
            demand.arrivals = 1;
            m_members[static_cast<std::size_t>(number) % m_members.size()]->access.demand(demand);
            co_await sleep(duration_cast<Duration>(seconds(1)) / m_parameters.loadsPerSecond);
        }
    }

    [[nodiscard]] Snapshot snapshot() const
    {
        Snapshot now;
        now.takenAt = Clock::now();
        now.cpuTime = processCpuTime();
        now.loadRequests = m_engines.loadRequests;
        for (const auto &member : m_members) {
            now.traffic.push_back(member->zone.traffic());
        }
        return now;
    }

    [[nodiscard]] ZoneBenchResult averagesBetween(const Snapshot &before, const Snapshot &after) const
    {
        using Seconds = std::chrono::duration<double>;
        const auto elapsed = duration_cast<Seconds>(after.takenAt - before.takenAt).count();
        const auto entries = static_cast<double>(m_members.size());
        ZoneBenchResult result;
        result.cpuShare = duration_cast<Seconds>(after.cpuTime - before.cpuTime).count() / elapsed / entries;
        result.loadsPerSecond = (after.loadRequests - before.loadRequests) / elapsed;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const auto read = static_cast<double>(after.traffic[i].bytesRead - before.traffic[i].bytesRead) / elapsed;
            const auto written
                = static_cast<double>(after.traffic[i].bytesWritten - before.traffic[i].bytesWritten) / elapsed;
            const auto messages = after.traffic[i].messagesRead - before.traffic[i].messagesRead
                + after.traffic[i].messagesWritten - before.traffic[i].messagesWritten;
            result.bytesReadPerSecond += read / entries;
            result.bytesWrittenPerSecond += written / entries;
            result.messagesPerSecond += static_cast<double>(messages) / elapsed / entries;
            if (m_members[i]->zone.isCoordinator()) {
                result.coordinatorBytesReadPerSecond = read;
                result.coordinatorBytesWrittenPerSecond = written;
            }
        }
        return result;
    }

    ZoneBenchCase m_parameters;
    Supervisor &m_root;
    StubEngineServer m_engines;
    std::vector<std::unique_ptr<BenchEntry>> m_members;
};

} // namespace

ZoneBenchResult runZoneBench(const ZoneBenchCase &parameters)
{
    asio::io_context io;
    Supervisor root(io.get_executor(), "zonebench");
    Bench bench(parameters, root);
    ZoneBenchResult result;
    std::exception_ptr failure;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            try {
                result = co_await bench.run();
            } catch (...) {
                failure = std::current_exception();
            }
            co_await root.stop();
            io.stop();
        },
        asio::detached);
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return result;
}

} // namespace tamarackcove
