#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Peers/PeerTraffic.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Entry/ZoneOptions.h"
#include "tamarackcove/Http/HttpRequest.h"
#include "tamarackcove/Http/HttpResponse.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tamarackcove {

class Metrics;
class PinTable;
class Supervisor;

/// The membership of one entry in its zone: the links to the other entries, the votes in elections, the view of the
/// zone, and the work of the zone coordinator while this entry holds the lease.
///
/// How the root of the entry uses it:
///
///     ZoneMember zone(options, hooks, pins);             // pins: the adapters in use by the request path
///     const auto listening = zone.listen();              // binds peer_listen; an error ends the process
///     root.start("zone", [&zone] { return zone.run(); }); // a child of the root supervisor
///     requestPath.use(zone.access());                    // ZoneAccess for routing and demand
///     ... POST /v1/targets/announce: co_await responder.send(zone.announce(request));
///     ... a new configuration: zone.announceHeldRevision(revision); hooks.onActivate follows
///     ... on shutdown, after the requests have ended: co_await zone.resignLease(); co_await root.stop();
///
/// run() owns a supervisor below the root and ends the tasks of this supervisor before it returns.
/// Thread safety: used on the thread of the executor.
class ZoneMember
{
public:
    /// Precondition: pins outlives the object.
    ZoneMember(ZoneOptions options, ZoneHooks hooks, const PinTable &pins);
    ~ZoneMember();
    ZoneMember(const ZoneMember &) = delete;
    ZoneMember &operator=(const ZoneMember &) = delete;

    /// Binds the port for peers; with port 0 the kernel assigns a free one.
    Result<void, std::string> listen(const boost::asio::any_io_executor &executor);
    /// Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;

    /// Runs until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    /// Gives up the lease, if this entry holds it, so that another entry can become coordinator without waiting until
    /// the lease expires. This entry is never a candidate again.
    boost::asio::awaitable<void> resignLease();

    /// The returned functions refer to this object and must not be called after its destruction.
    [[nodiscard]] ZoneAccess access();

    /// Returns the answer to `POST /v1/targets/announce`: 200, or 400 with the reason why the announcement is invalid.
    [[nodiscard]] HttpResponse announce(const HttpRequest &request);

    /// Tells the zone that this entry holds a configuration revision. ZoneHooks::onActivate is called once the revision
    /// may be in force on this entry: when a majority of the entries of the zone hold it, or when
    /// ZoneOptions::configurationActivationTimeout has passed.
    void announceHeldRevision(Revision revision);

    /// Reports to the control group and the entries of the zone that a target crashed while requests with these
    /// fingerprints were in flight.
    void reportCrash(const TargetId &target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints);

    /// Whether this entry has a configuration that is new enough to serve with: one from the control group, or the
    /// newest one that enough peers of the zone hold.
    [[nodiscard]] bool configurationReady() const;
    [[nodiscard]] bool isCoordinator() const;
    [[nodiscard]] PeerTraffic traffic() const;
    /// Writes the gauges whose names begin with `zone_`.
    void writeMetrics(Metrics &metrics) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
