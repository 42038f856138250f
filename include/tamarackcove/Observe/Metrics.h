#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tamarackcove {

/// The figures of one process, in the text format of scrapers. Counters and gauges are plain numbers; durations are
/// histograms with fixed bounds.
///
/// A name is `snake_case` with its unit at the end, and may carry labels: `requests_total{status="200"}`.
/// Thread safety: used on one thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(std::string_view name, std::uint64_t added = 1);
    void gauge(std::string_view name, double value);
    /// Precondition: the name ends in `_seconds`, before its labels.
    void observe(std::string_view name, Duration value);

    /// A name with labels. Characters that end a label's value are replaced, because values may come from outside.
    [[nodiscard]] static std::string
    labelled(std::string_view name, std::initializer_list<std::pair<std::string_view, std::string_view>> labels);

    /// The value of a counter, 0 when it was never counted.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    /// Every figure, one a line, each name with the prefix `tamarackcove_`.
    [[nodiscard]] std::string exposition() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace tamarackcove
