#include "tamarackcove/Fleet/CostEstimator.h"

#include <algorithm>

namespace tamarackcove {

/// Weight of one request in the moving averages: they follow a change within some 20 requests.
static constexpr double AverageWeight = 0.05;

template<typename Key>
static void addToAverage(std::map<Key, double> &averages, const Key &key, double value)
{
    const auto [found, isNew] = averages.try_emplace(key, value);
    if (!isNew) {
        found->second += AverageWeight * (value - found->second);
    }
}

RequestCost CostEstimator::estimate(const std::string &route, const Statement &statement) const
{
    RequestCost cost{.promptTokens = std::max(0.0, statement.promptTokens), .outputTokens = 0};
    const double limit = std::max(0.0, statement.maxOutputTokens);
    const auto recent = m_outputTokens.find(route);
    if (statement.expectedOutputTokens > 0) {
        cost.outputTokens = statement.expectedOutputTokens;
    } else {
        cost.outputTokens = recent == m_outputTokens.end() ? limit : recent->second;
    }
    if (limit > 0) {
        cost.outputTokens = std::min(cost.outputTokens, limit);
    }
    return cost;
}

double CostEstimator::weight(const ServiceName &service, const RequestCost &cost) const
{
    const auto average = m_work.find(service);
    if (average == m_work.end() || average->second <= 0 || cost.promptTokens <= 0) {
        return 1;
    }
    return std::min(MaxWeight, 0.5 + 0.5 * cost.work() / average->second);
}

void CostEstimator::recordServed(const std::string &route, const ServiceName &service, const RequestCost &estimated,
                                 double generated)
{
    addToAverage(m_outputTokens, route, generated);
    const RequestCost actual{.promptTokens = estimated.promptTokens, .outputTokens = generated};
    addToAverage(m_work, service, actual.work());
}

} // namespace tamarackcove
