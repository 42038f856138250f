#include "Announcer.h"

#include "EngineState.h"
#include "tamarackcove/Http/HttpConnection.h"
#include "tamarackcove/Observe/LogLine.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace tamarackcove {

static constexpr milliseconds AnnounceTimeout{1000};
// Interval between recorded load reports, and therefore the resolution of the simulated report lag.
static constexpr milliseconds RecordInterval{100};

static LoadReport currentReport(const EngineState &state)
{
    return {.running = static_cast<int>(state.batch.running()) + state.requestsInService,
            .waiting = static_cast<int>(state.batch.waiting()),
            .adapters = state.slots.residentAdapters()};
}

static std::string announcement(EngineState &state, std::uint16_t port, TimePoint now)
{
    const auto &settings = state.settings;
    const auto address = settings.announceAs.value_or(Endpoint{settings.listen.host, port});
    const auto load = state.reports.at(now, state.faults.loadReportLag);
    nlohmann::json body = {{"id", settings.name},
                           {"incarnation", state.incarnation},
                           {"zone", settings.zone},
                           {"kind", settings.isPlainService ? "service" : "engine"},
                           {"service", settings.serviceName},
                           {"host", address.host},
                           {"port", address.port},
                           {"base_model", settings.baseModel},
                           {"adapter_slots", settings.isPlainService ? 0 : settings.adapterSlots},
                           {"max_batch", settings.costs.maxBatch},
                           {"fencing", settings.refusesStaleFencing ? "refuses" : "ignores"},
                           {"leaving", state.leaving},
                           {"running", load.running},
                           {"waiting", load.waiting}};
    if (!state.sampleFault(state.faults.adapterListOmissionProbability)) {
        body["adapters"] = state.reports.at(now, state.faults.adapterListLag).adapters;
    }
    return body.dump();
}

static asio::awaitable<bool> announceTo(const Endpoint &entry, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/targets/announce";
    request.headers.set("content-type", "application/json");
    request.body = std::move(body);
    const auto response = co_await httpExchange(entry, std::move(request), AnnounceTimeout);
    if (response.has_value() && response.value().status == 400) {
        LogLine(LogLevel::Error, "announcement_refused").add("reason", response.value().body);
    }
    co_return response.has_value() && response.value().status == 200;
}

asio::awaitable<void> announce(EngineState &state, std::uint16_t port)
{
    const auto &entries = state.settings.announceTo;
    Timer timer(state.executor);
    std::size_t nextEntry = 0;
    auto nextAnnouncement = Clock::now();
    bool previousAccepted = true;
    bool leavingAnnounced = false;
    while (true) {
        const auto now = Clock::now();
        state.reports.record(now, currentReport(state));
        state.removeExpiredJobs(now);
        const bool mustAnnounceLeaving = state.leaving && !leavingAnnounced;
        if ((now >= nextAnnouncement || mustAnnounceLeaving) && !entries.empty()
            && !state.faults.suppressAnnouncements) {
            nextAnnouncement = now + state.settings.announceInterval;
            leavingAnnounced = state.leaving;
            bool accepted = false;
            // Tries the other entries if one does not accept, so that the zone does not drop the target because a
            // single entry is down.
            for (std::size_t attempt = 0; attempt < entries.size() && !accepted; ++attempt) {
                accepted = co_await announceTo(entries[nextEntry++ % entries.size()], announcement(state, port, now));
            }
            if (accepted != previousAccepted) {
                LogLine(LogLevel::Warning, accepted ? "announcement_accepted" : "announcement_unheard")
                    .add("target", state.settings.name);
                previousAccepted = accepted;
            }
        }
        timer.expires_after(std::min(RecordInterval, state.settings.announceInterval));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace tamarackcove
