#pragma once

#include "tamarackcove/Fleet/AdapterHistory.h"
#include "tamarackcove/Fleet/RetryWindow.h"
#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Fleet/ServerDirectory.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace tamarackcove {

struct FleetUpdateMessage;
struct FleetReportMessage;
struct GatewaySettings;
struct CallerDialect;

/// What an entry knows of its deployment, and what it has to tell the control host: the configuration in force, servers
/// and what they hold, versions of weights, requests that wait for adapters.
///
/// Thread safety: used on the thread of the executor.
class FleetView
{
public:
    FleetView(boost::asio::any_io_executor executor, const GatewaySettings &settings, const CallerDialect &dialect);

    /// Takes over what the control host says. A configuration that is older than the one in force changes nothing.
    void apply(const FleetUpdateMessage &update, TimePoint now);
    /// Who this entry is, without anything to report.
    [[nodiscard]] FleetReportMessage identity() const;
    /// Takes what there is to report since the last call; with the servers that are known, and with what they have
    /// held, if asked.
    [[nodiscard]] FleetReportMessage takeReport(bool withServers, bool withHistory);

    /// Null before the first configuration.
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const;
    [[nodiscard]] ServerDirectory &servers();
    [[nodiscard]] RetryWindow &retries(const ServiceName &service);
    /// The version below which requests for an adapter must not run; 0 when none has been named.
    [[nodiscard]] std::uint64_t requiredVersion(const AdapterKey &adapter, TimePoint now) const;
    [[nodiscard]] std::uint64_t namedVersion(const AdapterKey &adapter) const;
    /// How old the last word of a control host that leads is; the time since the start before the first.
    [[nodiscard]] milliseconds updateAge(TimePoint now) const;
    /// Requests that wait for an adapter.
    [[nodiscard]] std::size_t waiting() const;
    /// What is left of this entry's share of the retry budget, by service.
    [[nodiscard]] std::vector<std::pair<ServiceName, double>> retriesLeft(TimePoint now);

    /// How a request waits for an adapter.
    struct Wait
    {
        AdapterKey adapter;
        std::uint64_t version = 0;
        /// Whether it is to be loaded for this request. Otherwise a load is in progress.
        bool demands = false;
        /// Servers that have failed this request.
        int failed = 0;
        TimePoint until;
    };
    /// Waits until servers or what they hold have changed, or the deadline. The timer is that of the request, which may
    /// be cancelled from outside.
    boost::asio::awaitable<void> waitForAdapter(Wait wait, boost::asio::steady_timer &timer);
    /// Waits until there is a configuration, or the deadline. The timer is that of the request.
    boost::asio::awaitable<void> waitForConfiguration(TimePoint until, boost::asio::steady_timer &timer);
    /// A request for an adapter was sent to a server, and has ended there.
    void beginUse(const TargetId &server, const AdapterKey &adapter);
    void endUse(const TargetId &server, const AdapterKey &adapter);
    void noteMissing(const TargetId &server, const AdapterKey &adapter);
    /// A server was still loading the adapter so long after the expected end.
    void noteOverdue(const TargetId &server, const AdapterKey &adapter, milliseconds by);
    /// Called when a request begins to wait for an adapter that nobody has been asked for yet.
    std::function<void()> onDemand;

private:
    struct Demand
    {
        int waiting = 0;
        std::uint64_t version = 0;
        int failed = 0;
    };
    struct Named
    {
        std::uint64_t version = 0;
        TimePoint since;
    };

    void wakeAll();
    void addHistory(FleetReportMessage &report) const;

    boost::asio::any_io_executor m_executor;
    const GatewaySettings &m_settings;
    const CallerDialect &m_dialect;
    std::shared_ptr<const RouteTable> m_routes;
    TimePoint m_updatedAt;
    ServerDirectory m_servers;
    AdapterHistory m_history;
    std::unordered_map<AdapterKey, Named> m_versions;
    std::map<ServiceName, RetryWindow> m_retries;
    std::size_t m_entries = 1;
    std::map<AdapterKey, Demand> m_demands;
    struct Use
    {
        int sent = 0;
        int running = 0;
        /// Whether the control host knows of requests in progress.
        bool reported = false;
    };
    std::map<std::pair<TargetId, AdapterKey>, Use> m_uses;
    std::set<std::pair<TargetId, AdapterKey>> m_missing;
    std::map<std::pair<TargetId, AdapterKey>, milliseconds> m_overdue;
    std::set<boost::asio::steady_timer *> m_waiters;
};

} // namespace tamarackcove
