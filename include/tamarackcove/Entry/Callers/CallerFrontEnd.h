#pragma once

#include "tamarackcove/Base/Ids.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace tamarackcove {

class HttpResponder;
class RequestPath;
class Tracer;
struct HttpRequest;
struct HttpResponse;
struct ParsedCall;
struct ServingConfiguration;

/// The OpenAI-compatible HTTP front end: `/v1/completions`, `/v1/chat/completions`, `/v1/models` and
/// `/services/<name>/<path>`. It only parses requests and writes responses; RequestPath makes the decisions.
///
/// Thread safety: used on the thread of the HTTP server that calls handle().
class CallerFrontEnd
{
public:
    struct Hooks
    {
        std::function<const ServingConfiguration &()> configuration;
        /// Whether a configuration is in force. Until one is, calls are refused as not run, because this entry does not
        /// know which adapters exist.
        std::function<bool()> hasConfiguration;
        /// Handlers of other paths by method and path, for example `POST /v1/targets/announce`.
        std::map<std::string, std::function<HttpResponse(const HttpRequest &)>> routes;
    };

    /// Precondition: path and tracer outlive the object.
    CallerFrontEnd(EntryId self, RequestPath &path, Tracer &tracer, Hooks hooks);

    /// Answers one request; to be passed to HttpServer as its handler.
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    boost::asio::awaitable<void> serve(ParsedCall parsed, HttpResponder &responder);
    boost::asio::awaitable<void> listModels(HttpResponder &responder);
    [[nodiscard]] RequestId nextRequestId();

    EntryId m_self;
    RequestPath &m_requestPath;
    Tracer &m_tracer;
    Hooks m_hooks;
    std::string m_idPrefix;
    std::uint64_t m_lastId = 0;
};

} // namespace tamarackcove
