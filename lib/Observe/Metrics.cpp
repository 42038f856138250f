#include "tamarackcove/Observe/Metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <limits>
#include <map>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <stdexcept>

namespace acc = boost::accumulators;

namespace tamarackcove {

/// Upper bounds of the histogram buckets in seconds. 0.15, 0.8 and 1 are the latency goals of the routes; with a bucket
/// at each goal, the share of requests within it is exact and needs no interpolation.
static constexpr std::array<double, 12> BucketBounds{0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1, 2, 4, 10};

struct DurationStats
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> sums;
    /// One bucket for each bound, and one for durations above the highest bound.
    std::array<std::uint64_t, BucketBounds.size() + 1> buckets{};
};

struct Metrics::Impl
{
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, DurationStats, std::less<>> durations;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

template<typename Map, typename Make>
static auto &findOrAdd(Map &map, std::string_view name, Make make)
{
    const auto found = map.find(name);
    if (found != map.end()) {
        return found->second;
    }
    return map.emplace(std::string(name), make()).first->second;
}

void Metrics::count(std::string_view name, std::uint64_t added)
{
    findOrAdd(m_impl->counters, name, [] { return std::uint64_t{0}; }) += added;
}

void Metrics::gauge(std::string_view name, double value)
{
    findOrAdd(m_impl->gauges, name, [] { return 0.0; }) = value;
}

void Metrics::observe(std::string_view name, Duration value)
{
    auto &stats = findOrAdd(m_impl->durations, name, [] { return DurationStats(); });
    const auto inSeconds = std::chrono::duration<double>(value).count();
    stats.sums(inSeconds);
    const auto bound = std::lower_bound(BucketBounds.begin(), BucketBounds.end(), inSeconds);
    ++stats.buckets.at(static_cast<std::size_t>(bound - BucketBounds.begin()));
}

std::string Metrics::labelled(std::string_view name,
                              std::initializer_list<std::pair<std::string_view, std::string_view>> labels)
{
    std::string result(name);
    char separator = '{';
    for (const auto &[key, value] : labels) {
        result += separator;
        result += key;
        result += "=\"";
        for (const char c : value) {
            result += c == '"' || c == '\\' || c == '\n' ? '_' : c;
        }
        result += '"';
        separator = ',';
    }
    return result += '}';
}

std::uint64_t Metrics::counter(std::string_view name) const
{
    const auto found = m_impl->counters.find(name);
    return found == m_impl->counters.end() ? 0 : found->second;
}

/// Parses `name{key="value",...}` into a metric with labels and the name of its family, which gets the prefix of all
/// metrics.
static prometheus::ClientMetric parseMetricName(std::string_view name, std::string &family)
{
    prometheus::ClientMetric metric;
    const auto brace = name.find('{');
    family = "tamarackcove_" + std::string(name.substr(0, brace));
    while (brace != std::string_view::npos) {
        name.remove_prefix(name.find_first_of("{,") + 1);
        const auto equals = name.find("=\"");
        const auto end = name.find('"', equals + 2);
        if (equals == std::string_view::npos || end == std::string_view::npos) {
            break;
        }
        metric.label.push_back(
            {std::string(name.substr(0, equals)), std::string(name.substr(equals + 2, end - equals - 2))});
        if (end + 1 >= name.size() || name[end + 1] != ',') {
            break;
        }
    }
    return metric;
}

using Families = std::map<std::string, prometheus::MetricFamily>;

static void addToFamily(Families &families, const std::string &family, prometheus::MetricType type,
                        prometheus::ClientMetric metric)
{
    auto &entry = families[family];
    entry.name = family;
    entry.type = type;
    entry.metric.push_back(std::move(metric));
}

std::string Metrics::exposition() const
{
    Families families;
    std::string family;
    for (const auto &[name, value] : m_impl->counters) {
        auto metric = parseMetricName(name, family);
        metric.counter.value = static_cast<double>(value);
        addToFamily(families, family, prometheus::MetricType::Counter, std::move(metric));
    }
    for (const auto &[name, value] : m_impl->gauges) {
        auto metric = parseMetricName(name, family);
        metric.gauge.value = value;
        addToFamily(families, family, prometheus::MetricType::Gauge, std::move(metric));
    }
    for (const auto &[name, stats] : m_impl->durations) {
        auto metric = parseMetricName(name, family);
        metric.histogram.sample_count = acc::count(stats.sums);
        metric.histogram.sample_sum = acc::sum(stats.sums);
        metric.histogram.bucket.reserve(stats.buckets.size());
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < stats.buckets.size(); ++i) {
            cumulative += stats.buckets.at(i);
            const auto bound = i < BucketBounds.size() ? BucketBounds.at(i) : std::numeric_limits<double>::infinity();
            metric.histogram.bucket.push_back({cumulative, bound});
        }
        addToFamily(families, family, prometheus::MetricType::Histogram, std::move(metric));
    }
    std::vector<prometheus::MetricFamily> all;
    all.reserve(families.size());
    for (auto &[name, entry] : families) {
        all.push_back(std::move(entry));
    }
    return prometheus::TextSerializer().Serialize(all);
}

} // namespace tamarackcove
