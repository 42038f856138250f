#include "tamarackcove/Fleet/CrashAttribution.h"
#include "tamarackcove/Gateway/CrashReporter.h"
#include "tamarackcove/Gateway/CrashSuspectWatch.h"
#include "tamarackcove/Wire/FleetMessages.h"

#include <cstdint>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace tamarackcove;

/// A leader and its entries at servers of which none ends: a third of them break off each second request, a quarter of
/// the callers leave before their answer, and the others are answered. No two requests are alike but for parts of their
/// prompts.
class EvidenceLoad
{
public:
    static constexpr int Servers = 89;
    static constexpr int ResettingServers = 30;
    static constexpr int RequestsPerSecond = 1400;
    /// Interval of the reports of an entry.
    static constexpr milliseconds ReportInterval{200};
    static constexpr seconds Duration{6};

    explicit EvidenceLoad(std::size_t entries)
        : m_entries(entries)
    {
        for (auto &entry : m_entries) {
            entry.reporter.setEntries(entries);
            entry.watch.onNews = [this, &entry] {
                entry.reporter.noteNews(true, m_now);
            };
        }
    }

    void play()
    {
        const TimePoint start = m_now;
        int requests = 0;
        for (; m_now < start + Duration; m_now += milliseconds(1)) {
            for (; requests < RequestsPerSecond * (m_now - start) / seconds(1); ++requests) {
                endRequest(requests);
            }
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                report(i);
            }
            evaluate();
        }
    }

    /// Crashes and suspects that the leader was told of, and answered suspects.
    std::uint64_t evidence = 0;
    std::uint64_t answers = 0;
    /// Reports that were sent because of evidence alone.
    std::uint64_t extraReports = 0;
    CrashAttribution crashes{{}};

private:
    struct Entry
    {
        CrashSuspectWatch watch;
        CrashReporter reporter{watch};
        TimePoint fullReportAt;
    };

    void endRequest(int number)
    {
        auto &entry = m_entries[m_random() % m_entries.size()];
        const auto serverNumber = m_random() % Servers;
        const ServerIdentity server{.id = TargetId("s" + std::to_string(serverNumber)), .startedAt = Incarnation(1)};
        const std::vector suspects{CrashSuspect("first-" + std::to_string(m_random() % 3)),
                                   CrashSuspect("second-" + std::to_string(m_random() % 342)),
                                   CrashSuspect("request:" + std::to_string(number)),
                                   CrashSuspect("request-body:" + std::to_string(number)),
                                   CrashSuspect("request-path:" + std::to_string(m_random() % 500))};
        const auto sentAt = m_now - milliseconds(100);
        if (serverNumber < ResettingServers && m_random() % 2 == 0) {
            entry.watch.recordCrash(server, suspects, sentAt, m_now);
        } else if (m_random() % 4 == 0) {
            entry.watch.recordSilence(server, Address, suspects, sentAt, m_now);
        } else {
            entry.watch.recordAnswered(server, suspects, m_now);
        }
    }

    void report(std::size_t index)
    {
        auto &entry = m_entries[index];
        const bool full = m_now >= entry.fullReportAt + ReportInterval;
        if (!full && entry.reporter.dueAt().value_or(TimePoint::max()) > m_now) {
            return;
        }
        entry.fullReportAt = full ? m_now : entry.fullReportAt;
        extraReports += full ? 0 : 1;
        FleetReportMessage message;
        entry.reporter.addTo(message, true, m_now);
        for (const auto &crash : message.crashes) {
            evidence += 1 + crash.suspects.size();
            const ServerIdentity server{.id = TargetId(crash.server), .startedAt = Incarnation(crash.startedAt)};
            std::map<CrashSuspect, TimePoint> sentTimes;
            for (const auto &suspect : crash.suspects) {
                sentTimes.emplace(suspect.suspect, m_now - milliseconds(suspect.agoMs));
            }
            if (crash.closed) {
                crashes.recordCrash(server, m_now - milliseconds(crash.agoMs), sentTimes, m_now);
            } else {
                crashes.recordSilence(server,
                                      {.endpoint = Address,
                                       .firstSentAt = m_now - milliseconds(crash.firstSentAgoMs),
                                       .lastHeardAt = {},
                                       .sentTimes = sentTimes,
                                       .sentAgain = {}},
                                      m_now);
            }
        }
        answers += message.answeredSuspects.size();
        for (const auto &answered : message.answeredSuspects) {
            crashes.recordAnswered(CrashSuspect(answered.suspect), m_now - milliseconds(answered.agoMs));
        }
        m_evidenceCame = m_evidenceCame || !message.crashes.empty() || !message.answeredSuspects.empty();
    }

    void evaluate()
    {
        if (!m_evidenceCame || m_now < crashes.nextEvaluationAt()) {
            return;
        }
        m_evidenceCame = false;
        (void)crashes.takeConvicted(m_now);
        std::vector<std::string> watched;
        for (const auto &suspect : crashes.watched(m_now)) {
            watched.push_back(suspect.value());
        }
        (void)crashes.nextDecisionAt(m_now);
        for (auto &entry : m_entries) {
            entry.watch.setLists(watched, {}, m_now);
        }
    }

    static inline const Endpoint Address{.host = "127.0.0.1", .port = 80};
    std::mt19937_64 m_random{1};
    std::vector<Entry> m_entries;
    TimePoint m_now{seconds(100)};
    bool m_evidenceCame = false;
};

// Guards against a leader that is kept from its work, and loses its lease, by evidence of crashes in a day of trouble
// in which no server ends.
TEST_CASE("the work of a control host with crash evidence has a bound that does not grow with entries or requests")
{
    constexpr std::uint64_t MaxEvidencePerSecond = 2500;
    constexpr std::uint64_t MaxAnswersPerSecond = 2500;
    constexpr std::uint64_t MaxExtraReportsPerSecond = 1000;
    constexpr std::uint64_t MaxVisitsPerSecond = 60000;
    for (const std::size_t entries : {87, 200}) {
        INFO("entries ", entries);
        EvidenceLoad load(entries);
        load.play();
        constexpr auto Seconds = static_cast<std::uint64_t>(EvidenceLoad::Duration.count());
        CHECK(load.evidence / Seconds <= MaxEvidencePerSecond);
        CHECK(load.answers / Seconds <= MaxAnswersPerSecond);
        CHECK(load.extraReports / Seconds <= MaxExtraReportsPerSecond);
        CHECK(load.crashes.visits() / Seconds <= MaxVisitsPerSecond);
    }
}
