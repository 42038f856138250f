#include "tamarackcove/Fleet/StoreLoadWindow.h"

#include <algorithm>

namespace tamarackcove {

/// While fewer adapter loads than this share of the window are in progress, a late load has another cause than
/// congestion of the store, and a load on time does not show that the window could be larger.
static constexpr double MinCongestedShare = 0.7;
/// With fewer late loads than this share of those in progress, the cause is at their servers: at 90 loads in progress,
/// a single server that carried out its order late would otherwise nearly halve the window.
static constexpr double MinLateShare = 0.03;
/// The window is multiplied by a factor between these when a load is late.
static constexpr double MinDecreaseFactor = 0.6;
static constexpr double MaxDecreaseFactor = 0.85;

StoreLoadWindow::StoreLoadWindow(Options options)
    : m_options(options)
{
}

void StoreLoadWindow::setServers(std::size_t servers)
{
    const auto initialWindow = m_options.loadsPerServer * static_cast<double>(servers);
    if (initialWindow > m_initialWindow) {
        m_window += initialWindow - m_initialWindow;
        m_initialWindow = initialWindow;
    }
}

bool StoreLoadWindow::isFull(std::size_t inTransit) const
{
    return static_cast<double>(inTransit) >= m_window;
}

milliseconds StoreLoadWindow::lateTolerance() const
{
    return m_options.lateTolerance;
}

double StoreLoadWindow::window() const
{
    return m_window;
}

void StoreLoadWindow::recordOnTime(std::size_t inTransit, TimePoint now)
{
    const bool congested = static_cast<double>(inTransit) >= MinCongestedShare * m_window;
    if (congested && now >= m_lastDecreaseAt + m_options.minDecreaseInterval) {
        m_window = std::min(m_options.maxShare * m_initialWindow, m_window + 1 / m_window);
    }
}

void StoreLoadWindow::recordLate(milliseconds overdue, std::size_t inTransit, TimePoint now)
{
    const bool congested = static_cast<double>(inTransit) >= MinCongestedShare * m_window;
    if (!congested || overdue < m_options.lateTolerance || now < m_lastDecreaseAt + m_options.minDecreaseInterval) {
        return;
    }
    if (now >= m_lateSince + m_options.minDecreaseInterval) {
        m_lateSince = now;
        m_lateLoads = 0;
    }
    if (++m_lateLoads < MinLateShare * static_cast<double>(inTransit)) {
        return;
    }
    m_lastDecreaseAt = now;
    // Loads beyond full speed take longer in proportion to their number.
    const std::chrono::duration<double> fullSpeedTime = m_options.loadTime;
    const auto factor = std::clamp(fullSpeedTime / (fullSpeedTime + overdue), MinDecreaseFactor, MaxDecreaseFactor);
    m_window = std::max(m_options.minShare * m_initialWindow, m_window * factor);
}

} // namespace tamarackcove
