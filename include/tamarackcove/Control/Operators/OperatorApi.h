#pragma once

#include "tamarackcove/Configuration/Command.h"
#include "tamarackcove/Control/ControlParts.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace tamarackcove {

class HttpResponder;
struct HttpRequest;
struct HttpResponse;

/// The HTTP administration API of a control process. A replica that does not lead redirects to the leader.
///
/// Thread safety: used on one thread; several requests may be in progress at once.
class OperatorApi
{
public:
    explicit OperatorApi(ControlParts parts);

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    boost::asio::awaitable<HttpResponse> respond(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> createIntent(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> confirmPlan(const HttpRequest &request, std::string plan);
    boost::asio::awaitable<HttpResponse> propose(const HttpRequest &request, Command command);
    /// Calls `read` once a read barrier has confirmed that this process leads. If the barrier fails, redirects to the
    /// leader or answers with an error.
    boost::asio::awaitable<HttpResponse> readAsLeader(const HttpRequest &request, std::function<HttpResponse()> read);
    boost::asio::awaitable<HttpResponse> status(const HttpRequest &request);
    [[nodiscard]] HttpResponse listIntents() const;
    [[nodiscard]] HttpResponse showIntent(std::string_view name) const;
    [[nodiscard]] HttpResponse listPlans() const;
    [[nodiscard]] HttpResponse showPlan(std::string_view id) const;
    [[nodiscard]] HttpResponse metrics() const;

    ControlParts m_parts;
};

} // namespace tamarackcove
