#include "RequestExchange.h"
#include "tamarackcove/Gateway/FleetView.h"

#include <charconv>

namespace tamarackcove {

/// Event ids above this are no numbers of tokens.
static constexpr int MaxStreamEvents = 1000000;

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

int RequestRelay::tokensGenerated(const Exchange &exchange)
{
    // Servers number the events of a stream, one for each token. Several of them may be in one block that was relayed.
    const auto id = exchange.splitter.lastId().value_or("");
    int number = 0;
    if (std::from_chars(id.data(), id.data() + id.size(), number).ec == std::errc() && number <= MaxStreamEvents) {
        return std::max(exchange.eventCount, number);
    }
    return exchange.eventCount;
}

void RequestRelay::recordCost(const Exchange &exchange)
{
    m_costs.recordServed(exchange.route->name, exchange.service, exchange.cost, tokensGenerated(exchange));
}

void RequestRelay::recordEventTime(Exchange &exchange, const Attempt &attempt)
{
    // Of the first events, so that a server that has become slow is found long before its streams end.
    constexpr int ObservedEvents = 16;
    if (exchange.eventTimeRecorded || exchange.sendCount > 1) {
        return;
    }
    const int tokens = tokensGenerated(exchange);
    if (tokens < ObservedEvents) {
        return;
    }
    exchange.eventTimeRecorded = true;
    const int gaps = tokens - exchange.tokensInFirstBlock;
    if (gaps > 0) {
        m_parts.view.servers().recordUnitTime(attempt.choice.server.id,
                                              (exchange.lastProgressAt - *exchange.firstEventAt) / gaps);
    }
}

void RequestRelay::recordAnswerTime(const Attempt &attempt, TimePoint now)
{
    // Above this load per slot the answer may have waited in the queue of the server, which says nothing of its speed.
    constexpr double MaxLoad = 0.8;
    auto &servers = m_parts.view.servers();
    const auto &id = attempt.choice.server.id;
    const auto elapsed = now - attempt.sentAt;
    servers.recordFirstAnswer(id, elapsed, now);
    servers.recordDuration(id, elapsed);
    if (attempt.choice.load <= MaxLoad) {
        servers.recordUnitTime(id, elapsed);
    }
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
