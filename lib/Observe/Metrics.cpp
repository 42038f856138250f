#include "tamarackcove/Observe/Metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <stdexcept>

namespace acc = boost::accumulators;

namespace tamarackcove {

static constexpr std::array<double, 3> Quantiles{0.5, 0.95, 0.99};

using DurationStats = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>;

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
    auto &stats = findOrAdd(m_impl->durations, name,
                            [] { return DurationStats(acc::extended_p_square_probabilities = Quantiles); });
    stats(std::chrono::duration<double>(value).count());
}

std::uint64_t Metrics::counter(std::string_view name) const
{
    const auto found = m_impl->counters.find(name);
    return found == m_impl->counters.end() ? 0 : found->second;
}

/// Splits `name{key="value",...}`, the form in which the labels of a figure are given.
static prometheus::ClientMetric withLabels(std::string_view name, std::string &family)
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
        auto metric = withLabels(name, family);
        metric.counter.value = static_cast<double>(value);
        addToFamily(families, family, prometheus::MetricType::Counter, std::move(metric));
    }
    for (const auto &[name, value] : m_impl->gauges) {
        auto metric = withLabels(name, family);
        metric.gauge.value = value;
        addToFamily(families, family, prometheus::MetricType::Gauge, std::move(metric));
    }
    for (const auto &[name, stats] : m_impl->durations) {
        auto metric = withLabels(name, family);
        metric.summary.sample_count = acc::count(stats);
        metric.summary.sample_sum = acc::sum(stats);
        for (const auto probability : Quantiles) {
            metric.summary.quantile.push_back(
                {probability, acc::quantile(stats, acc::quantile_probability = probability)});
        }
        metric.summary.quantile.push_back({1.0, acc::max(stats)});
        addToFamily(families, family, prometheus::MetricType::Summary, std::move(metric));
    }
    std::vector<prometheus::MetricFamily> all;
    all.reserve(families.size());
    for (auto &[name, entry] : families) {
        all.push_back(std::move(entry));
    }
    return prometheus::TextSerializer().Serialize(all);
}

} // namespace tamarackcove
