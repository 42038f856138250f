#pragma once

#include "tamarackcove/Control/Fleet/EngineDialect.h"
#include "tamarackcove/Fleet/DeploymentConfiguration.h"
#include "tamarackcove/Supervision/Supervisor.h"

#include <memory>
#include <vector>

namespace tamarackcove {

class HttpServer;
struct LeaderBenchOptions;

/// Engines that accept every order at once, for the measurement of the host that orders them. They do not check the
/// number of accepted orders.
///
/// Thread safety: used on the thread of the executor.
class BenchEngines
{
public:
    BenchEngines(const boost::asio::any_io_executor &executor, const LeaderBenchOptions &options);
    ~BenchEngines();
    BenchEngines(const BenchEngines &) = delete;
    BenchEngines &operator=(const BenchEngines &) = delete;

    /// One service with these engines and one base model.
    [[nodiscard]] static DeploymentConfiguration configuration(const LeaderBenchOptions &options);
    /// A minimal encoding of orders and reports.
    [[nodiscard]] static EngineDialect dialect();
    /// A heartbeat of each engine.
    [[nodiscard]] std::vector<ServerHeartbeat> heartbeats() const;
    /// Orders that were accepted by all engines.
    [[nodiscard]] std::uint64_t orders() const;
    boost::asio::awaitable<void> stop();

private:
    struct Engine;

    Supervisor m_connections;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::uint64_t m_orders = 0;
};

} // namespace tamarackcove
