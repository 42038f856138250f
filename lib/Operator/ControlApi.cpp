#include "tamarackcove/Operator/ControlApi.h"

#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

ControlApi::ControlApi(Options options)
    : m_options(std::move(options))
{
    assert(!m_options.hosts.empty() && "at least one control host is needed");
}

/// The endpoint in the location of a redirect, `http://ip:port/path`; nothing when the response is no redirect.
static std::optional<Endpoint> redirectTarget(const HttpResponse &response)
{
    constexpr std::string_view Scheme = "http://";
    const auto location = response.headers.find("location");
    if (response.status != 307 || !location || !location->starts_with(Scheme)) {
        return std::nullopt;
    }
    const auto rest = location->substr(Scheme.size());
    return Endpoint::parse(rest.substr(0, rest.find('/')));
}

static std::string errorMessage(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        return body["error"].value("message", "status " + std::to_string(response.status));
    }
    return "status " + std::to_string(response.status);
}

asio::awaitable<Result<HttpResponse, UnreachableError>> ControlApi::send(HttpRequest request)
{
    const auto deadline = Clock::now() + m_options.timeout;
    Timer timer(co_await asio::this_coro::executor);
    UnreachableError error;
    std::size_t next = 0;
    int redirects = 0;
    bool answered = false;
    std::optional<Endpoint> leader;
    while (Clock::now() < deadline) {
        const auto host = leader ? *leader : m_options.hosts[next++ % m_options.hosts.size()];
        leader.reset();
        auto copy = request;
        auto response = co_await httpExchange(host, std::move(copy), m_options.attemptTimeout);
        if (response.has_error()) {
            const bool connected = response.error().code != HttpErrorCode::ConnectFailed;
            error.mayHaveTakenEffect = error.mayHaveTakenEffect || connected;
            // The answer of one control host is more helpful to the operator than a connect error of another.
            if (connected || !answered) {
                answered = answered || connected;
                error.detail = host.toString() + ": " + response.error().detail;
            }
        } else if (auto target = redirectTarget(response.value())) {
            leader = std::move(target);
            error.detail = host.toString() + ": redirected, but no leader has answered";
        } else if (response.value().status == 503 || response.value().status == 504) {
            error.mayHaveTakenEffect = error.mayHaveTakenEffect || response.value().status == 504;
            error.detail = errorMessage(response.value());
            answered = true;
        } else {
            co_return std::move(response).value();
        }
        // Until a new leader is elected, replicas may redirect to one that is no longer available. The first redirect
        // is followed immediately, further ones after a delay.
        redirects = leader ? redirects + 1 : 0;
        if (leader ? redirects > 1 : next % m_options.hosts.size() == 0) {
            timer.expires_after(m_options.retryDelay);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
    co_return error;
}

} // namespace tamarackcove
