#pragma once

#include "tamarackcove/Fleet/AllowanceLedger.h"
#include "tamarackcove/Fleet/AllowanceTimes.h"
#include "tamarackcove/Fleet/EntryAllowances.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tamarackcove::test {

/// Entries and a leader in virtual time. Messages take one step; connections break and come back as in FleetLink.
class AllowanceSimulation
{
public:
    static constexpr milliseconds Step{5};
    static constexpr milliseconds ReportInterval{200};
    static constexpr milliseconds LeaseInterval{20};
    static constexpr milliseconds MinReportInterval{20};
    /// Time until an entry notices that it is cut off, and until the leader does.
    static constexpr milliseconds EntryTimeout{900};
    static constexpr milliseconds LeaderTimeout{2500};
    /// Cost of ordinary requests, and of the large ones, of which there are 36 in 1,000.
    static constexpr double MinCost = 200;
    static constexpr double MaxCost = 650;
    static constexpr double LargeCost = 9200;
    static constexpr double LargeRatio = 0.036;
    static constexpr double MeanCost = (1 - LargeRatio) * (MinCost + MaxCost) / 2 + LargeRatio * LargeCost;

    struct Counts
    {
        double asked = 0;
        double served = 0;

        [[nodiscard]] double servedPart() const
        {
            return asked > 0 ? served / asked : 1;
        }
        [[nodiscard]] double refusedPart() const
        {
            return 1 - servedPart();
        }
        Counts &operator+=(const Counts &other)
        {
            asked += other.asked;
            served += other.served;
            return *this;
        }
    };
    struct Customer
    {
        Workspace workspace;
        /// Requests per second at all entries together; may be changed at any time.
        double requestRate = 0;
        Counts ordinary;
        Counts large;
        std::vector<Counts> byEntry;
        std::vector<std::pair<TimePoint, double>> servedUnits;

        [[nodiscard]] double refusedPart() const
        {
            return Counts{ordinary.asked + large.asked, ordinary.served + large.served}.refusedPart();
        }
        void resetCounts()
        {
            ordinary = {};
            large = {};
            std::fill(byEntry.begin(), byEntry.end(), Counts{});
        }
    };

    explicit AllowanceSimulation(std::size_t entries, unsigned seed = 1)
        : m_random(seed)
    {
        m_ledger.begin(m_now);
        addEntries(entries);
    }

    /// A workspace whose usual load is `use` of its allowance. Its burst is one second of the rate.
    std::size_t addCustomer(const std::string &name, double tokensPerSecond, double use)
    {
        Customer customer;
        customer.workspace.name = WorkspaceName(name);
        customer.workspace.allowance = WorkspaceAllowance{.unit = WorkspaceAllowance::Unit::Tokens,
                                                          .ratePerSecond = tokensPerSecond,
                                                          .burst = tokensPerSecond,
                                                          .plainRequestTokens = 100};
        customer.requestRate = use * tokensPerSecond / MeanCost;
        customer.byEntry.resize(m_entries.size());
        customers.push_back(std::move(customer));
        publishConfiguration();
        return customers.size() - 1;
    }

    /// Clients are distributed unevenly: the weights of entries are between 0.25 and 2.
    void addEntries(std::size_t count)
    {
        std::uniform_real_distribution<double> weight(0.25, 2);
        for (std::size_t i = 0; i < count; ++i) {
            auto entry = std::make_unique<Entry>(EntryId("e" + std::to_string(m_entries.size())), m_random());
            entry->weight = weight(m_random);
            entry->reportedAt = m_now - ReportInterval + Step * static_cast<int>(m_random() % 40);
            entry->allowances.setActive(true);
            m_entries.push_back(std::move(entry));
        }
        for (auto &customer : customers) {
            customer.byEntry.resize(m_entries.size());
        }
    }

    void publishConfiguration()
    {
        std::vector<Workspace> workspaces;
        for (const auto &customer : customers) {
            workspaces.push_back(customer.workspace);
        }
        m_ledger.setWorkspaces(workspaces, m_now);
    }

    void cutEntries(std::size_t first, std::size_t end, bool cut)
    {
        for (auto i = first; i < end; ++i) {
            m_entries[i]->reachable = !cut;
            m_entries[i]->cutAt = m_now;
        }
    }
    void killEntries(std::size_t first, std::size_t end)
    {
        for (auto i = first; i < end; ++i) {
            m_entries[i]->alive = false;
            m_entries[i]->connected = false;
            m_ledger.noteDisconnected(m_entries[i]->id);
        }
    }
    /// Ends entries and starts them again under their names; the new processes hold nothing.
    void restartEntries(std::size_t first, std::size_t end)
    {
        killEntries(first, end);
        for (auto i = first; i < end; ++i) {
            auto entry = std::make_unique<Entry>(m_entries[i]->id, m_random());
            entry->weight = m_entries[i]->weight;
            entry->allowances.setActive(true);
            m_entries[i] = std::move(entry);
        }
    }
    /// Ends the leader as a process that is killed: entries notice at once.
    void loseLeader()
    {
        m_leader = false;
        for (auto &entry : m_entries) {
            disconnect(*entry);
        }
    }
    void startLeader()
    {
        m_leader = true;
        m_ledger.begin(m_now);
        publishConfiguration();
    }

    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += Step) {
            for (auto &entry : m_entries) {
                if (entry->alive) {
                    step(*entry);
                }
            }
            if (m_leader && m_now >= m_decidedAt + LeaseInterval) {
                m_decidedAt = m_now;
                m_ledger.decideQueued(m_now);
            }
        }
    }

    /// Sends one request of this cost to an entry and returns whether it was served.
    bool call(std::size_t customer, std::size_t entry, double units)
    {
        auto &counts = customers[customer].large;
        const auto before = counts.served;
        arrive(customer, entry, units, true);
        run(milliseconds(300));
        return counts.served > before;
    }

    /// The most units that were served in any window of this length.
    [[nodiscard]] static double maxInWindow(const Customer &customer, Duration window)
    {
        double sum = 0;
        double most = 0;
        std::size_t first = 0;
        for (const auto &[at, units] : customer.servedUnits) {
            sum += units;
            while (customer.servedUnits[first].first + window <= at) {
                sum -= customer.servedUnits[first++].second;
            }
            most = std::max(most, sum);
        }
        return most;
    }

    [[nodiscard]] AllowanceLedger &ledger()
    {
        return m_ledger;
    }
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] std::size_t reports() const
    {
        return m_reports;
    }

    std::vector<Customer> customers;

private:
    struct Waiting
    {
        std::size_t customer = 0;
        double units = 0;
        bool isLarge = false;
        std::uint64_t lease = 0;
        TimePoint until;
    };
    struct Entry
    {
        Entry(EntryId entryId, unsigned seed)
            : id(std::move(entryId))
            , allowances({.draw = [random = std::mt19937(seed)]() mutable {
                return std::uniform_real_distribution<double>(0, 1)(random);
            }})
        {
        }

        EntryId id;
        EntryAllowances allowances;
        double weight = 1;
        bool alive = true;
        bool reachable = true;
        bool connected = false;
        TimePoint cutAt;
        TimePoint reportedAt;
        TimePoint answeredAt;
        std::vector<Waiting> waiting;
        bool asksNow = false;
        std::optional<AllowanceReport> reportInTransit;
        std::optional<AllowanceAnswer> answerInTransit;
    };

    void disconnect(Entry &entry)
    {
        if (entry.connected) {
            entry.connected = false;
            entry.allowances.loseLeader(m_now);
        }
        entry.reportInTransit.reset();
        entry.answerInTransit.reset();
    }

    void updateLink(Entry &entry)
    {
        if (!entry.reachable) {
            entry.reportInTransit.reset();
            entry.answerInTransit.reset();
            if (entry.connected && m_now >= entry.cutAt + EntryTimeout) {
                disconnect(entry);
            }
            if (m_now >= entry.cutAt + LeaderTimeout) {
                m_ledger.noteDisconnected(entry.id);
            }
        } else if (m_leader && !entry.connected) {
            entry.connected = true;
            entry.allowances.meetLeader();
            entry.reportedAt = m_now - ReportInterval;
        }
    }

    void step(Entry &entry)
    {
        updateLink(entry);
        if (auto answer = std::exchange(entry.answerInTransit, std::nullopt)) {
            settle(entry, entry.allowances.apply(*answer, m_now));
        }
        settleOverdue(entry);
        arrivals(entry);
        if (!entry.connected) {
            return;
        }
        if (m_leader && entry.reportInTransit) {
            ++m_reports;
            m_ledger.applyReport(entry.id, *std::exchange(entry.reportInTransit, std::nullopt), m_now);
        }
        const auto interval = entry.asksNow ? MinReportInterval : ReportInterval;
        if (m_now >= entry.reportedAt + interval) {
            entry.reportedAt = m_now;
            entry.asksNow = false;
            entry.reportInTransit = entry.allowances.takeReport(m_now);
        }
        for (const auto &id : m_ledger.takeDecided()) {
            m_decided.insert(id);
        }
        if (m_leader && (m_decided.erase(entry.id) > 0 || m_now >= entry.answeredAt + ReportInterval)) {
            entry.answeredAt = m_now;
            entry.answerInTransit = m_ledger.takeAnswer(entry.id, m_now);
        }
    }

    void arrivals(Entry &entry)
    {
        double weights = 0;
        for (const auto &other : m_entries) {
            weights += other->alive ? other->weight : 0;
        }
        const auto index = static_cast<std::size_t>(
            std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &other) { return other.get() == &entry; })
            - m_entries.begin());
        std::uniform_real_distribution<double> draw(0, 1);
        std::uniform_real_distribution<double> cost(MinCost, MaxCost);
        for (std::size_t i = 0; i < customers.size(); ++i) {
            const auto mean
                = customers[i].requestRate * entry.weight / weights * std::chrono::duration<double>(Step).count();
            if (mean <= 0) {
                continue;
            }
            const auto count = std::poisson_distribution<int>(mean)(m_random);
            for (int n = 0; n < count; ++n) {
                const bool isLarge = draw(m_random) < LargeRatio;
                arrive(i, index, isLarge ? LargeCost : cost(m_random), isLarge);
            }
        }
    }

    void arrive(std::size_t customerIndex, std::size_t entryIndex, double units, bool isLarge)
    {
        auto &customer = customers[customerIndex];
        auto &entry = *m_entries[entryIndex];
        ++(isLarge ? customer.large : customer.ordinary).asked;
        ++customer.byEntry[entryIndex].asked;
        const auto decision = entry.allowances.decide(customer.workspace, units, m_now);
        if (decision.verdict == EntryAllowances::Verdict::Granted) {
            serve(customer, entryIndex, units, isLarge);
        } else if (decision.verdict == EntryAllowances::Verdict::AwaitsLease) {
            entry.waiting.push_back(
                {customerIndex, units, isLarge, decision.lease, m_now + EntryAllowances::MaxLeaseWait});
            entry.asksNow = true;
        }
    }

    void serve(Customer &customer, std::size_t entryIndex, double units, bool isLarge)
    {
        ++(isLarge ? customer.large : customer.ordinary).served;
        ++customer.byEntry[entryIndex].served;
        customer.servedUnits.emplace_back(m_now, units);
    }

    void settle(Entry &entry, const std::vector<std::uint64_t> &leases)
    {
        for (auto &waiting : entry.waiting) {
            if (std::find(leases.begin(), leases.end(), waiting.lease) != leases.end()) {
                waiting.until = m_now;
            }
        }
    }

    void settleOverdue(Entry &entry)
    {
        const auto index = static_cast<std::size_t>(
            std::find_if(m_entries.begin(), m_entries.end(), [&](const auto &other) { return other.get() == &entry; })
            - m_entries.begin());
        std::erase_if(entry.waiting, [&](const Waiting &waiting) {
            if (m_now < waiting.until) {
                return false;
            }
            auto &customer = customers[waiting.customer];
            const auto decision = entry.allowances.settle(customer.workspace, waiting.units, waiting.lease, m_now);
            if (decision.verdict == EntryAllowances::Verdict::Granted) {
                serve(customer, index, waiting.units, waiting.isLarge);
            }
            return true;
        });
    }

    std::mt19937 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    AllowanceLedger m_ledger;
    bool m_leader = true;
    TimePoint m_decidedAt;
    std::set<EntryId> m_decided;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::size_t m_reports = 0;
};

} // namespace tamarackcove::test
