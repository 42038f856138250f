#include "tamarackcove/Fleet/CrashAttribution.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace tamarackcove;

/// The requests of a deployment whose servers take long, of which none crashes a server. Servers end, or are cut off
/// with resets, for other reasons, many at a time.
class SoundLoad
{
public:
    static constexpr int Servers = 89;
    static constexpr int FirstParts = 3;
    static constexpr int SecondParts = 342;
    static constexpr double RequestsPerSecond = 960;
    static constexpr milliseconds Step{5};
    /// How long after an answer the leader may learn of it, if it watches the part.
    static constexpr milliseconds ObjectionDelay{40};

    explicit SoundLoad(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 1; i <= SecondParts; ++i) {
            m_weights.push_back(1 / std::pow(i, 0.3));
        }
    }

    /// Plays until this time.
    void playUntil(TimePoint end)
    {
        for (; m_now < end; m_now += Step) {
            sendRequests();
            answerRequests();
            object();
            const auto convicted = crashes.takeConvicted(m_now);
            refused.insert(refused.end(), convicted.begin(), convicted.end());
        }
    }

    /// This many servers break off all their requests, one after the other over this time, and get no more for three
    /// seconds.
    void breakOff(int servers, milliseconds duration)
    {
        const auto start = m_now;
        for (int i = 0; i < servers; ++i) {
            playUntil(start + duration * i / servers);
            const auto server = (m_nextBroken++ * 5) % Servers;
            m_downUntil[server] = m_now + seconds(3);
            std::map<CrashSuspect, TimePoint> sentTimes;
            for (const auto &request : m_requests) {
                if (request.server == server) {
                    for (const auto &part : request.parts) {
                        sentTimes[part] = std::max(sentTimes[part], request.sentAt);
                    }
                }
            }
            std::erase_if(m_requests, [&](const Request &request) { return request.server == server; });
            crashes.recordCrash({.id = TargetId(std::to_string(server)), .startedAt = Incarnation(++m_starts)}, m_now,
                                sentTimes, m_now);
        }
    }

    CrashAttribution crashes{{}};
    std::vector<CrashSuspect> refused;

private:
    struct Request
    {
        int server;
        std::vector<CrashSuspect> parts;
        TimePoint sentAt;
        TimePoint answeredAt;
    };

    /// What an entry reports of a watched part.
    struct Objection
    {
        TimePoint arrivesAt;
        CrashSuspect part;
        TimePoint answeredAt;
    };

    void sendRequests()
    {
        std::poisson_distribution<int> arrivals(RequestsPerSecond * std::chrono::duration<double>(Step).count());
        std::discrete_distribution<int> second(m_weights.begin(), m_weights.end());
        std::exponential_distribution<double> latency(1 / 400.0);
        const auto count = arrivals(m_random);
        for (int i = 0; i < count; ++i) {
            const auto server = static_cast<int>(m_random() % Servers);
            if (m_downUntil[server] > m_now) {
                continue;
            }
            m_requests.push_back({.server = server,
                                  .parts = {CrashSuspect("first-" + std::to_string(m_random() % FirstParts)),
                                            CrashSuspect("second-" + std::to_string(second(m_random)))},
                                  .sentAt = m_now,
                                  .answeredAt = m_now + milliseconds(30 + static_cast<int>(latency(m_random)))});
        }
    }

    void answerRequests()
    {
        std::erase_if(m_requests, [&](const Request &request) {
            if (request.answeredAt > m_now) {
                return false;
            }
            for (const auto &part : request.parts) {
                m_answeredAt[part] = request.answeredAt;
            }
            return true;
        });
    }

    void object()
    {
        for (const auto &part : crashes.watched(m_now)) {
            if (const auto answered = m_answeredAt.find(part); answered != m_answeredAt.end()) {
                m_objections.push_back(
                    {.arrivesAt = m_now + ObjectionDelay, .part = part, .answeredAt = answered->second});
            }
        }
        for (; !m_objections.empty() && m_objections.front().arrivesAt <= m_now; m_objections.pop_front()) {
            crashes.recordAnswered(m_objections.front().part, m_objections.front().answeredAt);
        }
    }

    std::mt19937_64 m_random;
    std::vector<double> m_weights;
    TimePoint m_now{seconds(100)};
    std::vector<Request> m_requests;
    std::map<CrashSuspect, TimePoint> m_answeredAt;
    std::deque<Objection> m_objections;
    std::map<int, TimePoint> m_downUntil;
    int m_nextBroken = 0;
    std::uint64_t m_starts = 0;
};

// Guards against refusing sound requests for half an hour because many servers ended or were cut off together. The
// pattern: a fifth of the servers ends within 300 ms, a quarter shortly after, a zone is cut off, and a fifth ends one
// after the other.
TEST_CASE("no part of sound requests is convicted when a fifth of the servers ends in one moment, and again")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed ", seed);
        SoundLoad load(seed);
        load.playUntil(TimePoint(seconds(103)));
        load.breakOff(17, milliseconds(300));
        load.playUntil(TimePoint(seconds(106)));
        load.breakOff(22, milliseconds(300));
        load.playUntil(TimePoint(seconds(112)));
        load.breakOff(22, milliseconds(20));
        load.playUntil(TimePoint(seconds(118)));
        load.breakOff(17, milliseconds(2500));
        load.playUntil(TimePoint(seconds(123)));
        INFO("refused ", load.refused.size());
        CHECK(load.refused.empty());
    }
}
