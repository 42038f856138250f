#pragma once

#include "tamarackcove/Fleet/RouteTable.h"
#include "tamarackcove/Gateway/EventCutter.h"
#include "tamarackcove/Gateway/RequestRelay.h"
#include "tamarackcove/Http/CallerWatch.h"

#include <memory>
#include <optional>
#include <set>

namespace tamarackcove {

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

    [[nodiscard]] milliseconds left(TimePoint now) const
    {
        return duration_cast<milliseconds>(deadline - now);
    }
};

} // namespace tamarackcove
