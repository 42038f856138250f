#pragma once

#include "tamarackcove/Load/LoadSettings.h"
#include "tamarackcove/Load/LoadSummary.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace tamarackcove {

class Supervisor;

/// Open-loop load generator: sends each request of a trace at its planned time, whether or not earlier ones have ended,
/// and checks every answer.
///
/// Thread safety: used on the thread of the supervisor's executor.
class LoadRunner
{
public:
    /// Each request runs as a temporary task of the supervisor. Precondition: the supervisor outlives this object.
    LoadRunner(Supervisor &requests, LoadSettings settings);

    /// Sends the whole trace and returns when every request has ended.
    boost::asio::awaitable<void> run();

    [[nodiscard]] const LoadSummary &summary() const;
    [[nodiscard]] const std::vector<RequestRecord> &records() const;

private:
    /// Loads every adapter of the trace on every engine of LoadSettings::direct; logs those that fail.
    boost::asio::awaitable<void> preloadAdapters();

    Supervisor &m_requests;
    LoadSettings m_settings;
    LoadSummary m_summary;
    std::vector<RequestRecord> m_records;
};

} // namespace tamarackcove
