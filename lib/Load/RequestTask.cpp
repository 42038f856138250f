#include "RequestTask.h"

#include "AnswerReader.h"
#include "tamarackcove/Base/Hash.h"
#include "tamarackcove/Load/AnswerChecker.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr int TooManyRequests = 429;
static constexpr int ServiceUnavailable = 503;
static constexpr milliseconds FirstRetryWait{50};
// A reused connection that breaks within this time after a request was sent is taken to have been closed while idle.
// One that breaks later had accepted the request.
static constexpr milliseconds IdleCloseWindow{20};

RequestTask::RequestTask(const LoadSettings &settings, const TracedRequest &request, ConnectionPool &pool, Hooks hooks)
    : m_settings(settings)
    , m_request(request)
    , m_pool(pool)
    , m_hooks(std::move(hooks))
{
}

HttpRequest RequestTask::httpRequest() const
{
    HttpRequest request;
    request.method = "POST";
    request.headers.set("content-type", "application/json");
    request.headers.set("x-tamarackcove-priority", toString(m_request.priority));
    if (!m_request.repeatable) {
        request.headers.set("x-tamarackcove-repeatable", "false");
    }
    if (!m_request.repeatable || m_request.service) {
        request.headers.set("idempotency-key", m_request.key);
    }
    if (m_settings.deadline > milliseconds(0)) {
        request.headers.set("x-tamarackcove-deadline-ms", std::to_string(m_settings.deadline.count()));
    }
    if (m_request.service) {
        request.target = "/services/" + m_settings.trace.service + "/run";
        request.body = m_request.prompt;
        return request;
    }
    nlohmann::json body
        = {{"model", m_request.adapter}, {"max_tokens", m_request.answerTokens}, {"stream", m_request.stream}};
    if (m_request.chat) {
        request.target = "/v1/chat/completions";
        body["messages"] = nlohmann::json::array({{{"role", "user"}, {"content", m_request.prompt}}});
    } else {
        request.target = "/v1/completions";
        body["prompt"] = m_request.prompt;
    }
    request.body = body.dump();
    return request;
}

// Requests that are not repeatable may be sent again too: they carry an idempotency key, and the entry answers a
// repeated key with the recorded result.
bool RequestTask::mayResend() const
{
    return m_settings.resendBroken;
}

static milliseconds millisecondsHeader(const HttpResponse &response, std::string_view name)
{
    const auto header = response.headers.find(name);
    std::int64_t value = 0;
    if (header) {
        (void)std::from_chars(header->data(), header->data() + header->size(), value);
    }
    return milliseconds(value);
}

RequestTask::Next RequestTask::handleErrorResponse(const HttpResponse &response)
{
    m_record.detail = errorCodeOf(response.body, response.status);
    m_hooks.onError(m_record.detail);
    const bool notRun = response.status == TooManyRequests || response.status == ServiceUnavailable;
    m_record.outcome = notRun ? RequestOutcome::Refused : RequestOutcome::Failed;
    if (!notRun) {
        return Next::Finish;
    }
    const auto header = response.headers.find("retry-after");
    std::int64_t wait = 0;
    if (header) {
        (void)std::from_chars(header->data(), header->data() + header->size(), wait);
    }
    m_retryAfter = std::min<milliseconds>(seconds(wait), m_settings.maxRetryWait);
    return Next::RetryLater;
}

RequestTask::Next RequestTask::handleBrokenConnection(const HttpError &error)
{
    m_record.outcome = RequestOutcome::Lost;
    m_record.detail = error.detail;
    m_connectionErrorCode = error.code == HttpErrorCode::TimedOut ? "timed_out" : "connection_broken";
    return mayResend() ? Next::RetryLater : Next::Finish;
}

void RequestTask::recordAnswer(const AnswerReader &reader)
{
    auto verdict = checkAnswer(m_request, reader.text());
    if (verdict == AnswerVerdict::Correct && !reader.isComplete()) {
        verdict = AnswerVerdict::Cut;
    }
    if (!reader.model().empty() && reader.model() != m_request.adapter) {
        verdict = AnswerVerdict::WrongAdapter;
    }
    switch (verdict) {
    case AnswerVerdict::Correct:
        m_record.outcome = RequestOutcome::Ok;
        break;
    case AnswerVerdict::Cut:
        m_record.outcome = RequestOutcome::Cut;
        break;
    case AnswerVerdict::Doubled:
        m_record.outcome = RequestOutcome::Doubled;
        break;
    case AnswerVerdict::WrongAdapter:
        m_record.outcome = RequestOutcome::WrongAdapter;
        break;
    case AnswerVerdict::Crossed:
        m_record.outcome = RequestOutcome::Crossed;
        break;
    }
    m_record.detail = m_record.outcome == RequestOutcome::Ok ? "" : reader.text();
    m_record.tokens = m_request.answerTokens;
    const auto &times = reader.tokenTimes();
    m_record.tokenGaps.clear();
    if (!times.empty()) {
        m_record.firstToken = times.front() - m_planned;
    }
    for (std::size_t i = 1; i < times.size(); ++i) {
        m_record.tokenGaps.push_back(times[i] - times[i - 1]);
    }
}

void RequestTask::recordServiceAnswer(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const bool hasResult = json.is_object() && json.contains("digest") && json.contains("key");
    if (!hasResult) {
        m_record.outcome = RequestOutcome::Cut;
        return;
    }
    const bool matchesRequest
        = json["digest"] == fmt::format("{:016x}", hash64(m_request.prompt)) && json["key"] == m_request.key;
    m_record.outcome = matchesRequest ? RequestOutcome::Ok : RequestOutcome::Crossed;
}

asio::awaitable<RequestTask::Next> RequestTask::readAnswer(HttpConnection &connection, HttpResponse head)
{
    const auto type = head.headers.find("content-type").value_or("");
    const bool events = type.starts_with("text/event-stream");
    AnswerReader reader;
    while (true) {
        auto piece = co_await connection.readPiece(m_settings.timeout);
        if (piece.has_error()) {
            co_return handleBrokenConnection(piece.error());
        }
        if (!piece.value()) {
            break;
        }
        if (events) {
            reader.feedEvents(*piece.value(), Clock::now());
        } else {
            head.body += *piece.value();
        }
    }
    if (head.status != 200) {
        co_return handleErrorResponse(head);
    }
    m_record.total = Clock::now() - m_planned;
    if (m_request.service) {
        recordServiceAnswer(head.body);
        co_return Next::Finish;
    }
    if (!events) {
        reader.feedJson(head.body, Clock::now());
    }
    if (!reader.errorCode().empty()) {
        m_record.outcome = RequestOutcome::Failed;
        m_record.detail = reader.errorCode();
        m_hooks.onError(reader.errorCode());
        co_return mayResend() ? Next::RetryLater : Next::Finish;
    }
    recordAnswer(reader);
    co_return Next::Finish;
}

asio::awaitable<RequestTask::Next> RequestTask::exchange(HttpConnection &connection)
{
    const auto written = co_await connection.writeRequest(httpRequest(), m_settings.timeout);
    if (written.has_error()) {
        co_return handleBrokenConnection(written.error());
    }
    auto head = co_await connection.readHead(m_settings.timeout);
    if (head.has_error()) {
        co_return handleBrokenConnection(head.error());
    }
    m_record.loadWait += millisecondsHeader(head.value(), "x-tamarackcove-load-wait-ms");
    co_return co_await readAnswer(connection, std::move(head.value()));
}

asio::awaitable<RequestTask::Next> RequestTask::attempt(const Endpoint &endpoint)
{
    auto connection = m_settings.keepAlive && m_request.repeatable ? m_pool.take(endpoint) : nullptr;
    const bool reused = connection != nullptr;
    if (!connection) {
        auto connected = co_await HttpConnection::connect(endpoint, m_settings.timeout);
        if (connected.has_error()) {
            m_record.outcome = RequestOutcome::Lost;
            m_record.detail = connected.error().detail;
            m_hooks.onError("connect_failed");
            co_return Next::RetryLater;
        }
        connection = std::move(connected.value());
    }
    const auto lastHeardBeforeSend = connection->lastReadAt();
    const auto sentAt = Clock::now();
    const auto next = co_await exchange(*connection);
    if (m_record.outcome == RequestOutcome::Lost && reused && connection->lastReadAt() == lastHeardBeforeSend
        && Clock::now() - sentAt < IdleCloseWindow) {
        // The server closed the idle connection while the request was in transit. As usual HTTP clients do, this sends
        // the request again on another connection.
        m_hooks.onError("idle_connection_closed");
        co_return Next::RetryNow;
    }
    if (m_record.outcome == RequestOutcome::Lost) {
        m_hooks.onError(m_connectionErrorCode);
    }
    if (m_settings.keepAlive) {
        m_pool.putBack(endpoint, std::move(connection));
    }
    co_return next;
}

asio::awaitable<RequestRecord> RequestTask::run(const std::vector<Endpoint> &endpoints, std::size_t firstIndex,
                                                bool direct, TimePoint planned)
{
    m_planned = planned;
    m_record.key = m_request.key;
    m_record.adapter = m_request.adapter;
    m_record.direct = direct;
    m_record.stream = m_request.stream && !m_request.service;
    m_record.at = m_request.at;
    auto wait = FirstRetryWait;
    Timer timer(co_await asio::this_coro::executor);
    for (auto index = firstIndex;; ++index) {
        const auto next = co_await attempt(endpoints[index % endpoints.size()]);
        if (next == Next::RetryNow) {
            --index;
            continue;
        }
        ++m_record.attempts;
        if (next == Next::Finish || m_record.attempts >= m_settings.maxAttempts) {
            break;
        }
        timer.expires_after(std::max(wait, m_retryAfter));
        co_await timer.async_wait(asio::use_awaitable);
        wait = std::min(wait * 2, m_settings.maxRetryWait);
        m_retryAfter = milliseconds(0);
    }
    co_return std::move(m_record);
}

} // namespace tamarackcove
