#include "tamarackcove/Entry/Targets/TargetCall.h"

#include "tamarackcove/Entry/ControlCalls.h"
#include "tamarackcove/Entry/Targets/DispatchContext.h"
#include "tamarackcove/Entry/Targets/StreamRelay.h"
#include "tamarackcove/Entry/Targets/TargetConnections.h"
#include "tamarackcove/Entry/ZoneAccess.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Observe/Metrics.h"
#include "tamarackcove/Requests/Call.h"
#include "tamarackcove/Requests/CrashLedger.h"
#include "tamarackcove/Requests/RequestLifecycle.h"
#include "tamarackcove/Requests/UnreachableTargets.h"
#include "tamarackcove/Supervision/Timer.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

asio::awaitable<TargetCall::ReceiveEnd> TargetCall::recover()
{
    m_context.connections.closeIdle(m_destination.endpoint);
    m_connection->close();
    if (Clock::now() - std::max(m_dispatchedAt, m_relay->lastOutputAt()) > m_call.responseTimeout) {
        co_return ReceiveEnd::Unresumable;
    }
    m_life.breakStream();
    // A resume that received tokens, or that waited for tokens for the whole progress timeout, resets the count of
    // failed resumes. A resume whose connection broke sooner counts as a failure even if the target accepted it.
    const bool lastResumeProgressed
        = m_relay->nextOffset() > m_resumeOffset || Clock::now() - m_resumedAt >= m_context.options.progressTimeout;
    m_failedResumes = lastResumeProgressed ? 0 : m_failedResumes + 1;
    while (m_failedResumes < m_context.options.maxResumeFailures) {
        if (m_failedResumes > 0) {
            Timer pause(co_await asio::this_coro::executor, m_context.options.resumePause);
            co_await pause.async_wait(asio::use_awaitable);
        }
        if (m_watched.isCallerGone()) {
            co_return ReceiveEnd::CallerGone;
        }
        m_resumedAt = Clock::now();
        m_resumeOffset = m_relay->nextOffset();
        if (!co_await sendResume()) {
            if (m_targetCrashed) {
                co_return ReceiveEnd::Unresumable;
            }
            ++m_failedResumes;
            continue;
        }
        m_context.metrics.count("resumes_total");
        m_life.resume();
        co_return co_await receive(true);
    }
    co_return ReceiveEnd::Unresumable;
}

asio::awaitable<bool> TargetCall::sendResume()
{
    auto opened = co_await m_context.connections.open(m_destination.endpoint);
    if (opened.has_error()) {
        if (opened.error().connectionRefused) {
            noteCrash();
        }
        co_return false;
    }
    m_connection = std::move(opened.value());
    m_watched.connection = m_connection.get();
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/resume";
    request.headers.set("content-type", "application/json");
    request.body = nlohmann::json{{"request_id", attemptId()}, {"offset", m_relay->nextOffset()}}.dump();
    const auto written = co_await m_connection->writeRequest(std::move(request), m_context.options.writeTimeout);
    co_return written.has_value();
}

asio::awaitable<void> TargetCall::cancel()
{
    auto connection = co_await m_context.connections.open(m_destination.endpoint);
    if (connection.has_error()) {
        co_return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/cancel";
    request.headers.set("content-type", "application/json");
    request.body = nlohmann::json{{"request_id", attemptId()}}.dump();
    const auto done = co_await connection.value()->exchange(std::move(request), m_context.options.cancelTimeout);
    if (done.has_value()) {
        m_context.metrics.count("cancels_total");
        m_context.connections.release(m_destination.endpoint, std::move(connection.value()));
    }
}

asio::awaitable<void> TargetCall::checkForCrash()
{
    if (m_targetCrashed) {
        co_return;
    }
    auto connection = co_await m_context.connections.open(m_destination.endpoint);
    if (connection.has_error()) {
        if (connection.error().connectionRefused) {
            noteCrash();
        }
        co_return;
    }
    HttpRequest request;
    request.target = "/v1/state";
    const auto state = co_await connection.value()->exchange(std::move(request), m_context.options.progressTimeout);
    if (state.has_error()) {
        // Behind a network relay, connections to a target that went down are closed instead of refused.
        if (state.error().code == HttpErrorCode::Closed) {
            noteCrash();
        }
        co_return;
    }
    const auto body = nlohmann::json::parse(state.value().body, nullptr, false);
    const auto incarnation = body.is_object() ? body.find("incarnation") : body.end();
    const bool announced = m_destination.incarnation != Incarnation();
    if (announced && body.is_object() && incarnation != body.end() && incarnation->is_number_unsigned()
        && incarnation->get<std::uint64_t>() != m_destination.incarnation.value()) {
        noteCrash();
    }
}

void TargetCall::noteCrash()
{
    m_targetCrashed = true;
    m_context.unreachable.noteUnreachable(m_destination.target, Clock::now());
    const auto crash = m_context.crashes.noteCrash(m_destination.target, m_destination.incarnation, Clock::now());
    if (crash.inFlight.empty()) {
        return;
    }
    m_context.metrics.count("target_crashes_total");
    LogLine(LogLevel::Warning, "target_crashed")
        .add("target", m_destination.target.value())
        .add("in_flight", static_cast<std::uint64_t>(crash.inFlight.size()))
        .add("blamed", static_cast<std::uint64_t>(crash.blamed.size()));
    m_context.control.reportCrash(m_destination.target, m_destination.incarnation, crash.inFlight);
    m_context.zone.reportUnreachable(m_destination.target);
}

} // namespace tamarackcove
