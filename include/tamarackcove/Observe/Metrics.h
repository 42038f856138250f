#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tamarackcove {

/// The metrics of one process, exported in the Prometheus text format: counters, gauges, and durations as histograms
/// with fixed bucket bounds.
///
/// A name is `snake_case` with its unit at the end, and may include labels: `requests_total{status="200"}`.
/// Thread safety: used on one thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter.
    void count(std::string_view name, std::uint64_t added = 1);
    /// Sets a gauge.
    void gauge(std::string_view name, double value);
    /// Adds a duration to a histogram. Precondition: the name without its labels ends in `_seconds`.
    void observe(std::string_view name, Duration value);

    /// A metric name with labels. Quotes, backslashes and line breaks in label values are replaced by `_`, because
    /// values may come from outside the process and must not end a label early.
    [[nodiscard]] static std::string
    labelled(std::string_view name, std::initializer_list<std::pair<std::string_view, std::string_view>> labels);

    /// The value of a counter; 0 when nothing was added to it.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    /// All metrics in the Prometheus text format. Each name has the prefix `tamarackcove_`.
    [[nodiscard]] std::string exposition() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
