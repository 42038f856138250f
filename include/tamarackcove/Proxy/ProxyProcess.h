#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Settings/SettingsError.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

namespace tamarackcove {

class Supervisor;

/// A listen address and the target to which its connections are forwarded.
struct ProxyPair
{
    std::string name;
    /// Names of the groups that the pair belongs to, for example a zone. `POST /faults` can select all pairs of a
    /// group.
    std::vector<std::string> groups;
    Endpoint listen;
    Endpoint target;
};

/// Settings of `tamarackcove-fault-proxy`.
struct ProxySettings
{
    /// Listen address for `POST /faults` and `GET /pairs`.
    Endpoint control;
    std::vector<ProxyPair> pairs;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<ProxySettings, SettingsError> loadProxySettings(const std::string &path);

/// A TCP proxy that injects faults into its links on request.
///
/// Thread safety: used on the thread of the supervisor's executor.
class ProxyProcess
{
public:
    /// Precondition: the supervisor outlives this object.
    ProxyProcess(Supervisor &root, ProxySettings settings);
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess &) = delete;
    ProxyProcess &operator=(const ProxyProcess &) = delete;

    /// Opens the listening ports and starts the children. Returns false if listening on one of them fails.
    bool start();
    /// Closes the open connections.
    boost::asio::awaitable<void> drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
