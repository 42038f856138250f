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

/// The part that one entry takes in its zone: links to the other entries, vote, view, and the work of the zone
/// coordinator while this entry holds the lease.
///
/// Construction by the root of the entry:
///
///     ZoneMember zone(options, hooks, pins);             // pins: the table that the request path pins in
///     const auto listening = zone.listen();              // binds peer_listen; an error ends the process
///     root.start("zone", [&zone] { return zone.run(); }); // a child of the root supervisor
///     requestPath.use(zone.access());                    // ZoneAccess for routing and demand
///     ... POST /v1/targets/announce: co_await responder.send(zone.announce(request));
///     ... a new configuration: zone.holdRevision(revision); hooks.onActivate follows
///     ... on shutdown, after the requests have ended: co_await zone.leave(); co_await root.stop();
///
/// run() owns a supervisor of its own below the root and ends its tasks before it returns.
/// Thread safety: used on the thread of the executor.
class ZoneMember
{
public:
    /// Precondition: pins outlives the object.
    ZoneMember(ZoneOptions options, ZoneHooks hooks, const PinTable &pins);
    ~ZoneMember();
    ZoneMember(const ZoneMember &) = delete;
    ZoneMember &operator=(const ZoneMember &) = delete;

    /// Binds the port for peers; port 0 takes one from the kernel.
    Result<void, std::string> listen(const boost::asio::any_io_executor &executor);
    /// Precondition: listen() has succeeded.
    [[nodiscard]] std::uint16_t port() const;

    /// Runs until cancelled. Precondition: listen() has succeeded.
    boost::asio::awaitable<void> run();

    /// Gives up the lease so that another entry can take it at once; this entry is no candidate afterwards.
    boost::asio::awaitable<void> leave();

    /// The functions stay valid as long as the object.
    [[nodiscard]] ZoneAccess access();

    /// Answers `POST /v1/targets/announce`: 200, or 400 with the reason.
    [[nodiscard]] HttpResponse announce(const HttpRequest &request);

    /// Tells the zone that this entry holds a configuration revision. `onActivate` is called once the revision may be
    /// in force here: a majority of the entries of the zone hold it, or the silent ones have had 1.5 s.
    void holdRevision(Revision revision);

    /// Reports a crash of a target with these fingerprints in flight, to the control group and the entries of the zone.
    void reportCrash(const TargetId &target, Incarnation incarnation, std::vector<std::uint64_t> fingerprints);

    /// Whether this entry has a configuration that it may serve with: its own from the control group, or the newest
    /// of enough peers of the zone.
    [[nodiscard]] bool configurationReady() const;
    [[nodiscard]] bool isCoordinator() const;
    [[nodiscard]] PeerTraffic traffic() const;
    /// Adds what this part knows to the figures of the process.
    void writeMetrics(Metrics &metrics) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
