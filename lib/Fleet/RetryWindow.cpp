#include "tamarackcove/Fleet/RetryWindow.h"

#include <cassert>

namespace tamarackcove {

/// Share of the retry budget that takeRetry() gives out. The rest covers the delay until an entry learns of the start
/// or end of other entries, and the width of the buckets, which makes the counted window differ from the exact one.
static constexpr double SafetyShare = 0.8;

RetryWindow::RetryWindow(Options options)
    : m_options(options)
{
}

void RetryWindow::setEntries(std::size_t entries)
{
    assert(entries > 0 && "this entry is one of the entries that share the budget");
    m_entries = entries;
}

RetryWindow::Bucket &RetryWindow::bucket(TimePoint now)
{
    const auto width = m_options.window / static_cast<std::int64_t>(Buckets);
    const auto number = now.time_since_epoch() / width;
    auto &current = m_buckets[static_cast<std::size_t>(number) % Buckets];
    if (current.number != number) {
        current = {.number = number};
    }
    return current;
}

void RetryWindow::noteRequest(TimePoint now)
{
    bucket(now).requests += 1;
}

double RetryWindow::remaining(TimePoint now)
{
    const auto newest = bucket(now).number;
    double requests = 0;
    double retries = 0;
    for (const auto &each : m_buckets) {
        if (each.number > newest - static_cast<std::int64_t>(Buckets)) {
            requests += each.requests;
            retries += each.retries;
        }
    }
    const auto slack = m_options.slack / static_cast<double>(m_entries);
    return SafetyShare * (m_options.ratio * requests + slack) - retries;
}

bool RetryWindow::takeRetry(TimePoint now)
{
    if (remaining(now) < 1.0) {
        return false;
    }
    bucket(now).retries += 1;
    return true;
}

} // namespace tamarackcove
