#pragma once

#include "tamarackcove/Base/Endpoint.h"
#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Settings/SettingsError.h"
#include "tamarackcove/Store/StoreModel.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace tamarackcove {

class Supervisor;

/// Settings of `tamarackcove-fake-store`.
struct StoreSettings
{
    Endpoint listen;
    StoreLimits limits;
};

/// Reads and checks the settings file. Thread safe.
[[nodiscard]] Result<StoreSettings, SettingsError> loadStoreSettings(const std::string &path);

/// A simulated weight store: `GET /adapters/<name@version>`, `GET /stats`, `POST /faults`.
///
/// Thread safety: used on the thread of the supervisor's executor.
class StoreProcess
{
public:
    /// Precondition: the supervisor outlives this object.
    StoreProcess(Supervisor &root, StoreSettings settings);
    ~StoreProcess();
    StoreProcess(const StoreProcess &) = delete;
    StoreProcess &operator=(const StoreProcess &) = delete;

    /// Opens the listening port and starts the children. Returns false if listening fails.
    bool start();
    /// Closes the open connections.
    boost::asio::awaitable<void> drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
