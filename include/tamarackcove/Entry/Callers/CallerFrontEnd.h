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
/// `/services/<name>/<path>`. It only reads and writes; RequestPath decides.
///
/// Thread safety: used on the thread of its server.
class CallerFrontEnd
{
public:
    struct Hooks
    {
        std::function<const ServingConfiguration &()> configuration;
        /// Whether there is a configuration; without one no adapter can be called unknown.
        std::function<bool()> configured;
        /// Answers to other paths, by method and path: `POST /v1/targets/announce`.
        std::map<std::string, std::function<HttpResponse(const HttpRequest &)>> routes;
    };

    /// Precondition: path and tracer outlive the object.
    CallerFrontEnd(EntryId self, RequestPath &path, Tracer &tracer, Hooks hooks);

    /// The handler for HttpServer.
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    boost::asio::awaitable<void> serve(ParsedCall parsed, HttpResponder &responder);
    boost::asio::awaitable<void> listModels(HttpResponder &responder);
    [[nodiscard]] RequestId nextId();

    EntryId m_self;
    RequestPath &m_path;
    Tracer &m_tracer;
    Hooks m_hooks;
    std::string m_idPrefix;
    std::uint64_t m_lastId = 0;
};

} // namespace tamarackcove
