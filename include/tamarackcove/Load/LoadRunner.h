#pragma once

#include "tamarackcove/Load/LoadSettings.h"
#include "tamarackcove/Load/LoadSummary.h"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace tamarackcove {

class Supervisor;

/// Sends the requests of a trace at their times, whether or not earlier ones have ended, and checks every answer.
///
/// Thread safety: used on the thread of the supervisor's executor.
class LoadRunner
{
public:
    /// Precondition: the supervisor outlives this object; each request is one of its tasks.
    LoadRunner(Supervisor &requests, LoadSettings settings);

    /// Returns when every request has ended.
    boost::asio::awaitable<void> run();

    [[nodiscard]] const LoadSummary &summary() const;
    [[nodiscard]] const std::vector<RequestRecord> &records() const;

private:
    boost::asio::awaitable<void> preload();

    Supervisor &m_requests;
    LoadSettings m_settings;
    LoadSummary m_summary;
    std::vector<RequestRecord> m_records;
};

} // namespace tamarackcove
