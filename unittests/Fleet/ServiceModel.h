#pragma once

#include "tamarackcove/Fleet/AdmissionControl.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace tamarackcove::test {

/// Servers of one service with FIFO queues, and entries that send to a random one of them, in steps of 1 ms. Entries
/// report their requests in progress every 200 ms, each at its own time, and see the sum every 200 ms, so that what
/// they see is 200 to 400 ms old. A caller that is refused comes once more.
class ServiceModel
{
public:
    struct Setup
    {
        bool controlled = true;
        /// Whether entries know when a caller that comes again first sent its request.
        bool knowsFirstAttempt = true;
        int entries = 70;
        int servers = 3;
        int slots = 6;
        std::size_t queue = 24;
        milliseconds serviceTime{30};
        milliseconds goal{150};
        milliseconds timeout{1200};
        milliseconds callerTime{2500};
        /// On the way from a caller to an entry and a server, and back.
        milliseconds travelTime{8};
        /// Requests each second of the entry with the fewest and of the one with the most.
        double minRate = 3;
        double maxRate = 10;
        /// Priorities and weights of requests, drawn with equal chances.
        std::vector<int> priorities{0};
        std::vector<double> weights{1};
        /// Factor on the rates at a time since the start.
        std::function<double(milliseconds)> load = [](milliseconds) {
            return 1.0;
        };
        /// Number of servers that are lost, and whether reports arrive, at a time since the start.
        std::function<int(milliseconds)> lost = [](milliseconds) {
            return 0;
        };
        std::function<bool(milliseconds)> reports = [](milliseconds) {
            return true;
        };
        std::uint64_t seed = 1;
    };
    struct Tally
    {
        int requests = 0;
        int onTime = 0;
        int late = 0;
        [[nodiscard]] int served() const
        {
            return onTime + late;
        }
        [[nodiscard]] double servedShare() const
        {
            return requests == 0 ? 0 : static_cast<double>(served()) / requests;
        }
        [[nodiscard]] double onTimeShare() const
        {
            return requests == 0 ? 0 : static_cast<double>(onTime) / requests;
        }
    };
    /// What all entries together did in a part of the time.
    struct Sample
    {
        milliseconds at{0};
        int limited = 0;
        std::size_t held = 0;
        int inProgress = 0;
    };

    explicit ServiceModel(Setup setup)
        : m_setup(std::move(setup))
        , m_random(m_setup.seed)
        , m_servers(static_cast<std::size_t>(m_setup.servers))
    {
        for (int i = 0; i < m_setup.entries; ++i) {
            const double part = static_cast<double>(i) / std::max(1, m_setup.entries - 1);
            m_entries.push_back({.rate = m_setup.minRate + part * (m_setup.maxRate - m_setup.minRate),
                                 .phase = i * 200 / m_setup.entries,
                                 .control = std::make_unique<AdmissionControl>(
                                     AdmissionControl::Options{.seed = m_setup.seed * 1000 + i})});
        }
    }

    void run(milliseconds length)
    {
        const auto end = m_now + length;
        for (; m_now < end; m_now += milliseconds(1)) {
            step();
        }
    }

    /// Requests that callers first sent in a part of the time, by priority and weight.
    [[nodiscard]] Tally tally(milliseconds from, milliseconds to, int priority = -1, double weight = 0) const
    {
        Tally sum;
        for (const auto &call : m_calls) {
            if (call.firstSentAt < Start + from || call.firstSentAt >= Start + to
                || (priority >= 0 && call.priority != priority) || (weight > 0 && call.weight != weight)) {
                continue;
            }
            ++sum.requests;
            const bool answered = call.answeredAt != TimePoint();
            const bool onTime = answered && call.answeredAt + m_setup.travelTime <= call.firstSentAt + m_setup.goal;
            sum.onTime += onTime ? 1 : 0;
            sum.late += answered && !onTime ? 1 : 0;
        }
        return sum;
    }

    /// One for each report of the leader.
    std::vector<Sample> samples;
    milliseconds longestHold{0};
    int held = 0;
    int refused = 0;

private:
    static constexpr TimePoint Start{std::chrono::hours(1)};
    struct Call
    {
        int priority = 0;
        double weight = 1;
        TimePoint firstSentAt;
        TimePoint arrivedAt;
        TimePoint sentAt;
        TimePoint answeredAt;
        std::size_t entry = 0;
        bool repeated = false;
    };
    struct Entry
    {
        double rate = 0;
        int phase = 0;
        std::unique_ptr<AdmissionControl> control;
        double inProgress = 0;
        double reported = 0;
        /// The held calls, with when to check them.
        std::map<AdmissionControl::Ticket, std::pair<Call *, TimePoint>> held{};
    };
    struct Server
    {
        std::multimap<TimePoint, Call *> running;
        std::deque<Call *> queue;
    };

    [[nodiscard]] double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    [[nodiscard]] AdmissionControl::Request requestOf(const Call &call) const
    {
        return {.priority = call.priority,
                .weight = call.weight,
                .firstSentAt = m_setup.knowsFirstAttempt ? call.firstSentAt : call.arrivedAt,
                .goal = m_setup.goal,
                .deadline = std::min(call.arrivedAt + m_setup.timeout, call.firstSentAt + m_setup.callerTime)};
    }

    void step()
    {
        const auto time = duration_cast<milliseconds>(m_now - Start);
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            if (draw() < m_entries[i].rate * m_setup.load(time) / 1000) {
                const auto priority = m_setup.priorities[m_random() % m_setup.priorities.size()];
                const auto weight = m_setup.weights[m_random() % m_setup.weights.size()];
                m_calls.push_back({.priority = priority, .weight = weight, .firstSentAt = m_now, .entry = i});
                arrive(m_calls.back());
            }
        }
        for (; !m_returns.empty() && m_returns.begin()->first <= m_now; m_returns.erase(m_returns.begin())) {
            arrive(*m_returns.begin()->second);
        }
        for (auto &entry : m_entries) {
            for (auto next = entry.held.begin(); next != entry.held.end();) {
                const auto [ticket, value] = *next++;
                if (value.second <= m_now) {
                    entry.held.erase(ticket);
                    decide(*value.first, entry.control->check(ticket, m_now));
                }
            }
        }
        const auto up = m_servers.size() - static_cast<std::size_t>(m_setup.lost(time));
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            serve(m_servers[i], i < up);
        }
        report(time, static_cast<int>(up));
    }

    void arrive(Call &call)
    {
        call.arrivedAt = m_now;
        if (m_setup.controlled) {
            decide(call, m_entries[call.entry].control->offer(requestOf(call), m_now));
        } else {
            send(call);
        }
    }

    void decide(Call &call, const AdmissionControl::Decision &decision)
    {
        if (decision.verdict == AdmissionControl::Verdict::Hold) {
            held += call.arrivedAt == m_now ? 1 : 0;
            m_entries[call.entry].held[decision.ticket] = {&call, decision.checkAt};
            return;
        }
        longestHold = std::max(longestHold, duration_cast<milliseconds>(m_now - call.arrivedAt));
        if (decision.verdict == AdmissionControl::Verdict::Send) {
            send(call);
        } else {
            ++refused;
            comeAgain(call, decision.retryAfter);
        }
    }

    void comeAgain(Call &call, milliseconds retryAfter)
    {
        if (!std::exchange(call.repeated, true) && m_now + retryAfter < call.firstSentAt + m_setup.callerTime) {
            m_returns.emplace(m_now + retryAfter, &call);
        }
    }

    void send(Call &call)
    {
        const auto up = m_setup.servers - m_setup.lost(duration_cast<milliseconds>(m_now - Start));
        auto &server = m_servers[m_random() % static_cast<std::size_t>(up)];
        if (server.running.size() + server.queue.size() >= static_cast<std::size_t>(m_setup.slots) + m_setup.queue) {
            comeAgain(call, milliseconds(300));
            return;
        }
        call.sentAt = m_now;
        m_entries[call.entry].inProgress += call.weight;
        server.queue.push_back(&call);
    }

    void serve(Server &server, bool up)
    {
        if (!up) {
            for (; !server.queue.empty(); server.queue.pop_front()) {
                m_entries[server.queue.front()->entry].inProgress -= server.queue.front()->weight;
            }
        }
        for (; !server.running.empty() && server.running.begin()->first <= m_now;
             server.running.erase(server.running.begin())) {
            auto &call = *server.running.begin()->second;
            auto &entry = m_entries[call.entry];
            entry.inProgress -= call.weight;
            call.answeredAt = m_now;
            entry.control->recordAnswer(requestOf(call), m_now - call.sentAt, m_now - call.sentAt);
        }
        while (!server.queue.empty() && server.running.size() < static_cast<std::size_t>(m_setup.slots)) {
            auto *call = server.queue.front();
            server.queue.pop_front();
            server.running.emplace(m_now + duration_cast<milliseconds>(call->weight * m_setup.serviceTime), call);
        }
    }

    void report(milliseconds time, int up)
    {
        double sum = 0;
        for (auto &entry : m_entries) {
            if (time.count() % 200 == entry.phase) {
                entry.reported = entry.inProgress;
            }
            sum += entry.reported;
        }
        if (time.count() % 200 != 0) {
            return;
        }
        Sample sample{.at = time};
        const auto seen = std::exchange(m_reportedLoad, sum);
        for (auto &entry : m_entries) {
            m_reportedAt = m_setup.reports(time) ? m_now : m_reportedAt;
            entry.control->recordLoad(
                {.inProgress = seen, .slots = up * m_setup.slots, .reportAge = m_now - m_reportedAt}, m_now);
            sample.limited += entry.control->limits() ? 1 : 0;
            sample.held += entry.held.size();
            sample.inProgress += static_cast<int>(entry.inProgress);
        }
        samples.push_back(sample);
    }

    Setup m_setup;
    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    TimePoint m_reportedAt = Start;
    double m_reportedLoad = 0;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
    std::deque<Call> m_calls;
    std::multimap<TimePoint, Call *> m_returns;
};

} // namespace tamarackcove::test
