#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Control/LogClient.h"
#include "tamarackcove/Control/LogError.h"
#include "tamarackcove/Fleet/DeploymentConfiguration.h"
#include "tamarackcove/Fleet/FleetState.h"
#include "tamarackcove/Fleet/ServerRegistry.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The calls of operators and servers to a control host, in typed form. A front end decodes its HTTP requests into
/// these.
///
/// Thread safety: used on one thread; several calls may be in progress at once.
class FleetControl
{
public:
    /// Parses a configuration in the form in which operators send it; the error is one line for the operator.
    using ReadConfiguration = std::function<Result<DeploymentConfiguration, std::string>(std::string_view document)>;

    enum class RefusalCode {
        /// The request can never be accepted.
        Invalid,
        /// The request is longer than a command of the log may be.
        TooLarge,
        /// Another host is leader; `leader` is its address.
        NotLeader,
        /// The request was not accepted and may be accepted when it is sent again later: no leader is known, no
        /// majority can be reached, or there is no configuration to read yet.
        Unavailable,
        /// The request may or may not have been accepted.
        OutcomeUnknown,
    };
    struct Refusal
    {
        RefusalCode code = RefusalCode::Unavailable;
        std::string detail;
        std::optional<Endpoint> leader;
    };
    struct Hooks
    {
        /// Address of this host for operators and servers.
        Endpoint address;
        ReadConfiguration readConfiguration;
        /// Called after the registry may have changed.
        std::function<void()> onServersChanged;
        /// Called for each heartbeat that the registry has accepted, before onServersChanged.
        std::function<void(const ServerHeartbeat &)> onHeartbeat;
    };

    /// Precondition: state and registry outlive this object.
    FleetControl(LogClient log, const FleetState &state, ServerRegistry &registry, Hooks hooks);

    [[nodiscard]] const Endpoint &address() const
    {
        return m_hooks.address;
    }
    /// Puts a configuration in force. Completes once this configuration, or one of the same or a higher version, is in
    /// the replicated state.
    boost::asio::awaitable<Result<void, Refusal>> putConfiguration(std::string document);
    /// The newest configuration, as the operator sent it. Fails on a host that cannot confirm that its state is
    /// current.
    boost::asio::awaitable<Result<std::string, Refusal>> readConfiguration();
    /// Sets the newest version of an adapter or base model. Completes once this version or a higher one is in the
    /// replicated state.
    boost::asio::awaitable<Result<void, Refusal>> putWeightVersion(PutWeightVersion version);
    /// Processes a server's heartbeat. If the heartbeat says that the server drains and the departure of the server is
    /// not in the replicated state yet, completes only once it is.
    boost::asio::awaitable<Result<void, Refusal>> heartbeat(ServerHeartbeat heartbeat);
    /// Records the departure of a server that is about to stop, so that entries send it no new requests and its delayed
    /// heartbeats are ignored. Completes once the departure is in the replicated state, also if the server is not in
    /// the registry.
    boost::asio::awaitable<Result<void, Refusal>> deregister(TargetId id);

private:
    [[nodiscard]] static Refusal toRefusal(const LogError &error);
    boost::asio::awaitable<Result<void, Refusal>> propose(FleetCommand command);
    [[nodiscard]] Result<void, Refusal> requireLeader() const;

    LogClient m_log;
    const FleetState &m_state;
    ServerRegistry &m_registry;
    Hooks m_hooks;
};

} // namespace tamarackcove
