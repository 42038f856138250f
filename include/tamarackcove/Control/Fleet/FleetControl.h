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

/// What operators and servers ask of a control host, in typed form. A front end decodes its calls into these.
///
/// Thread safety: used on one thread; several calls may be in progress at once.
class FleetControl
{
public:
    /// Reads a configuration in the form in which operators send it; the error is one line for the operator.
    using ReadConfiguration = std::function<Result<DeploymentConfiguration, std::string>(std::string_view document)>;

    enum class RefusalCode {
        /// The request can never be accepted.
        Invalid,
        /// Another host leads; `leader` says where it is.
        NotLeader,
        /// Not now: no leader is known, or no majority can be reached.
        Unavailable,
        /// It may or may not have been accepted.
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
        /// Where operators and servers reach this host.
        Endpoint address;
        ReadConfiguration readConfiguration;
        /// Called after the registry has changed.
        std::function<void()> onServers;
        /// Called once each server's heartbeat that the leader has taken.
        std::function<void(const ServerHeartbeat &)> onHeartbeat;
    };

    /// Precondition: state and registry outlive this object.
    FleetControl(LogClient log, const FleetState &state, ServerRegistry &registry, Hooks hooks);

    [[nodiscard]] const Endpoint &address() const
    {
        return m_hooks.address;
    }
    /// Returns once the configuration is in the replicated state, or overtaken by a higher version.
    boost::asio::awaitable<Result<void, Refusal>> putConfiguration(std::string document);
    /// The newest configuration, as the operator sent it. Only answered by a host that is sure which one it is.
    boost::asio::awaitable<Result<std::string, Refusal>> readConfiguration();
    boost::asio::awaitable<Result<void, Refusal>> putWeightVersion(PutWeightVersion version);
    /// A server's heartbeat. When it says that it leaves, the answer waits until that is in the replicated state.
    boost::asio::awaitable<Result<void, Refusal>> heartbeat(ServerHeartbeat heartbeat);
    /// A server is about to end. An unknown one is accepted too: there is nothing to do.
    boost::asio::awaitable<Result<void, Refusal>> leave(TargetId id);

private:
    [[nodiscard]] static Refusal refusal(const LogError &error);
    boost::asio::awaitable<Result<void, Refusal>> propose(FleetCommand command);
    [[nodiscard]] Result<void, Refusal> requireLeader() const;

    LogClient m_log;
    const FleetState &m_state;
    ServerRegistry &m_registry;
    Hooks m_hooks;
};

} // namespace tamarackcove
