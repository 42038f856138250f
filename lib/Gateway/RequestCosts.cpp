#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"

#include <charconv>

namespace tamarackcove {

/// Event ids above this are no numbers of tokens.
static constexpr std::uint32_t MaxStreamEvents = 1000000;

/// Weight of a request in the request load of a server where few entries are connected; 1 for an ordinary request. One
/// half is constant and the other grows with the prompt, because reading a prompt delays the other requests of the
/// server in proportion to the length of the prompt. A request that does not state the length of its prompt counts as
/// ordinary.
static double weightByPrompt(const CallerRequest &caller)
{
    constexpr double OrdinaryPromptTokens = 650;
    return caller.promptTokens == 0 ? 1.0 : 0.5 + 0.5 * caller.promptTokens / OrdinaryPromptTokens;
}

void RequestRelay::estimateCost(Exchange &exchange) const
{
    const auto &caller = exchange.caller;
    exchange.cost = m_costs.estimate(exchange.route->name,
                                     {.promptTokens = static_cast<double>(caller.promptTokens),
                                      .maxOutputTokens = static_cast<double>(caller.maxOutputTokens),
                                      .expectedOutputTokens = static_cast<double>(caller.expectedOutputTokens)});
    exchange.weight = m_parts.view.servers().hasManyEntries() ? m_costs.weight(exchange.service, exchange.cost)
                                                              : weightByPrompt(caller);
}

void RequestRelay::recordCost(const Exchange &exchange)
{
    // Servers number the events of a stream, one for each token. Several of them may be in one block that was relayed.
    auto generated = static_cast<double>(exchange.eventCount);
    const auto id = exchange.splitter.lastId().value_or("");
    std::uint32_t number = 0;
    if (std::from_chars(id.data(), id.data() + id.size(), number).ec == std::errc() && number <= MaxStreamEvents) {
        generated = std::max(generated, static_cast<double>(number));
    }
    m_costs.recordServed(exchange.route->name, exchange.service, exchange.cost, generated);
}

ServerDirectory::Requirements RequestRelay::requirementsOf(const Exchange &exchange)
{
    return {.service = exchange.service,
            .model = exchange.caller.model,
            .adapter = exchange.caller.adapter,
            .excluded = exchange.excludedServers,
            .goal = exchange.route->goal,
            .memoryTokens = exchange.cost.memoryTokens()};
}

} // namespace tamarackcove
