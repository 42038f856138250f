#include "tamarackcove/Load/LoadRunner.h"

#include "RequestTask.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Supervision/Supervisor.h"
#include "tamarackcove/Supervision/Timer.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace asio = boost::asio;

namespace tamarackcove {

LoadRunner::LoadRunner(Supervisor &requests, LoadSettings settings)
    : m_requests(requests)
    , m_settings(std::move(settings))
{
}

asio::awaitable<void> LoadRunner::preloadAdapters()
{
    for (const auto &engine : m_settings.direct) {
        for (int number = 0; number < m_settings.trace.adapters; ++number) {
            HttpRequest request;
            request.method = "POST";
            request.target = "/v1/load_lora_adapter";
            const auto adapter = traceAdapter(m_settings.trace, number);
            request.body = nlohmann::json{{"lora_name", adapter}, {"lora_path", adapter}}.dump();
            const auto response = co_await httpExchange(engine, std::move(request), m_settings.timeout);
            if (response.has_error() || response.value().status != 200) {
                LogLine(LogLevel::Warning, "preload_failed").add("adapter", adapter).add("engine", engine.toString());
            }
        }
    }
}

asio::awaitable<void> LoadRunner::run()
{
    if (m_settings.directShare > 0 && m_settings.preloadDirect) {
        co_await preloadAdapters();
    }
    const auto trace = generateTrace(m_settings.trace);
    std::mt19937_64 random(m_settings.trace.seed);
    std::uniform_real_distribution<double> share(0, 1);
    ConnectionPool pool;
    Timer timer(m_requests.executor());
    const auto begin = Clock::now();
    std::size_t number = 0;
    for (const auto &request : trace) {
        const auto planned = begin + request.at;
        timer.expires_at(planned);
        co_await timer.async_wait(asio::use_awaitable);
        const bool direct = m_settings.directShare > 0 && share(random) < m_settings.directShare;
        const auto first = number++;
        m_requests.startTemporary(
            request.key, [this, &request, &pool, direct, first, planned]() -> asio::awaitable<void> {
                RequestTask task(m_settings, request, pool, {.onError = [this](const std::string &code) {
                                     ++m_summary.errorsByCode[code];
                                 }});
                auto record
                    = co_await task.run(direct ? m_settings.direct : m_settings.endpoints, first, direct, planned);
                m_summary.add(record);
                m_records.push_back(std::move(record));
            });
    }
    (void)co_await m_requests.waitForChildren(TimePoint::max());
}

const LoadSummary &LoadRunner::summary() const
{
    return m_summary;
}

const std::vector<RequestRecord> &LoadRunner::records() const
{
    return m_records;
}

} // namespace tamarackcove
