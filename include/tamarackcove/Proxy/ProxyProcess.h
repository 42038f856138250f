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

/// One listen address and where its connections go.
struct ProxyPair
{
    std::string name;
    /// Names under which faults reach several pairs at once, such as a zone.
    std::vector<std::string> groups;
    Endpoint listen;
    Endpoint target;
};

/// Settings of `tamarackcove-fault-proxy`.
struct ProxySettings
{
    /// Takes `POST /faults` and `GET /pairs`.
    Endpoint control;
    std::vector<ProxyPair> pairs;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<ProxySettings, SettingsError> loadProxySettings(const std::string &path);

/// A TCP proxy whose links fail on demand.
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

    /// Listens and starts the children. False when a port cannot be taken.
    bool start();
    /// Ends the open connections.
    boost::asio::awaitable<void> drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
