#pragma once

#include "tamarackcove/Fleet/ServerDirectory.h"
#include "tamarackcove/Gateway/CallerDialect.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>

namespace tamarackcove {

class CallerWatch;
class FleetView;
class HttpConnection;
class HttpResponder;
class Metrics;
class ServerConnections;
struct RouteRule;

/// Serves one request after the other: finds its route, waits for a server that can run it, sends it, and relays the
/// answer. A request that may have run is sent again only if its route allows it.
///
/// Thread safety: used on the thread of the executor; several requests are in progress at once.
class RequestRelay
{
public:
    struct Parts
    {
        FleetView &view;
        ServerConnections &connections;
        CallerWatch &watch;
        Metrics &metrics;
        const CallerDialect &dialect;
        /// Whether a control host that leads is connected.
        std::function<bool()> led;
    };

    explicit RequestRelay(Parts parts);

    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);

private:
    struct Exchange;
    enum class Step {
        /// The caller has its answer, or is gone.
        Finished,
        /// The request did not run there; another server may.
        NotRun,
        /// It may have run there, and another server may run it too.
        Again,
    };

    boost::asio::awaitable<void> awaitConfiguration(Exchange &exchange);
    boost::asio::awaitable<void> run(Exchange &exchange);
    boost::asio::awaitable<std::optional<ServerDirectory::Choice>> awaitServer(Exchange &exchange);
    boost::asio::awaitable<Step> attempt(Exchange &exchange, ServerDirectory::Choice choice);
    boost::asio::awaitable<Step> relay(Exchange &exchange, const ServerDirectory::Choice &choice,
                                       std::unique_ptr<HttpConnection> connection, HttpResponse head);
    boost::asio::awaitable<Step> relayWhole(Exchange &exchange, const ServerDirectory::Choice &choice,
                                            std::unique_ptr<HttpConnection> connection, HttpResponse head);
    boost::asio::awaitable<Step> relayStream(Exchange &exchange, const ServerDirectory::Choice &choice,
                                             std::unique_ptr<HttpConnection> connection, HttpResponse head);
    boost::asio::awaitable<Step> notRun(Exchange &exchange, const ServerDirectory::Choice &choice,
                                        std::unique_ptr<HttpConnection> connection, const ServerAnswer &answer);
    boost::asio::awaitable<void> answerUnserved(Exchange &exchange);
    boost::asio::awaitable<void> refuse(Exchange &exchange, EntryRefusal refusal, milliseconds retryAfter);
    /// The request broke off at a server after it was sent.
    [[nodiscard]] Step broken(Exchange &exchange, const ServerDirectory::Choice &choice, ServerOutcome outcome,
                              std::string_view reason);
    [[nodiscard]] bool maySendAgain(const Exchange &exchange) const;
    void logRouted(const Exchange &exchange) const;
    void logAwaited(const Exchange &exchange, Duration waited, std::string_view result) const;
    void logSent(const Exchange &exchange, const ServerDirectory::Choice &choice, milliseconds timeLeft) const;
    /// Writes the last line of a request, and counts it.
    void recordEnd(const Exchange &exchange);

    Parts m_parts;
    std::mt19937_64 m_random;
    std::uint64_t m_served = 0;
};

} // namespace tamarackcove
