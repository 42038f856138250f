#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Fleet/RequestCost.h"

#include <map>
#include <string>

namespace tamarackcove {

/// Estimates what requests cost, from what they state and from what recent requests of their route have generated.
///
/// Thread safety: used on one thread.
class CostEstimator
{
public:
    /// What a request states; 0 if it does not say.
    struct Statement
    {
        double promptTokens = 0;
        /// The most that the request may generate, and what its caller expects it to generate.
        double maxOutputTokens = 0;
        double expectedOutputTokens = 0;
    };

    /// Highest weight of a request: a request cannot raise the load of a server without limit by what it states.
    static constexpr double MaxWeight = 20;

    [[nodiscard]] RequestCost estimate(const std::string &route, const Statement &statement) const;
    /// Weight of a request in the request load of a server: 1 for the average request of the service, and if neither
    /// that nor the cost of the request is known. One half is constant and the other grows with the work.
    [[nodiscard]] double weight(const ServiceName &service, const RequestCost &cost) const;
    /// Records a request that was served, its estimated cost, and the number of tokens that it has generated.
    void recordServed(const std::string &route, const ServiceName &service, const RequestCost &estimated,
                      double generated);

private:
    /// Moving averages over recent requests.
    std::map<std::string, double> m_outputTokens;
    std::map<ServiceName, double> m_work;
};

} // namespace tamarackcove
