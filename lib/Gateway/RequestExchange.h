#pragma once

#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Gateway/EventCutter.h"
#include "tamarackcove/Gateway/RequestRelay.h"
#include "tamarackcove/Http/CallerWatch.h"

#include <memory>
#include <optional>
#include <set>

namespace tamarackcove {

/// How a request ended, as its caller saw it.
enum class RequestOutcome {
    Answered,
    /// A server's answer with a failure status was passed on.
    ServerFailed,
    Refused,
    /// The stream ended before its last event.
    Cut,
    CallerGone,
};

/// One request while it is served: what it asks for, where it has been, and how far its answer has come.
///
/// Thread safety: used by the coroutine of its request.
struct RequestRelay::Exchange
{
    Exchange(const HttpRequest &httpRequest, HttpResponder &httpResponder, CallerWatch &watch)
        : request(httpRequest)
        , responder(httpResponder)
        , watched(watch, httpResponder)
    {
    }

    const HttpRequest &request;
    HttpResponder &responder;
    CallerWatch::Watched watched;
    CallerRequest caller;
    std::shared_ptr<const RouteTable> routes;
    const RouteRule *route = nullptr;
    ServiceName service;
    TimePoint arrived;
    TimePoint deadline;
    std::set<TargetId> excluded;
    /// Arrivals at servers so far.
    int sent = 0;
    /// Servers at which it may have run.
    int ran = 0;
    int refusals = 0;
    double weight = 1;
    EventCutter events;
    bool streaming = false;
    int eventCount = 0;
    TimePoint lastProgress;
    /// A failure that a server has answered with, kept while another server is tried.
    std::optional<HttpResponse> failure;
    RequestOutcome outcome = RequestOutcome::CallerGone;
    /// Why it was not answered; one of a fixed set of words.
    std::string_view reason;
    /// What kept it from a server, in words for the log.
    std::string_view obstacle;
    /// The time it waited for its adapter.
    Duration waited{0};
    std::optional<TimePoint> firstEvent;
    TargetId lastServer;
    /// Whether all its steps are logged, even if nothing goes wrong.
    bool sampled = false;

    [[nodiscard]] milliseconds left(TimePoint now) const
    {
        return duration_cast<milliseconds>(deadline - now);
    }
};

} // namespace tamarackcove
