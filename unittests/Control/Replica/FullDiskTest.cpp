#include "ThreeReplicas.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cerrno>

namespace asio = boost::asio;
using namespace tamarackcove;
using namespace tamarackcove::test;

namespace {

/// What a full disk refuses.
enum class Refused {
    /// Each write takes half of its bytes, down to the last one.
    Writes,
    /// Writes are taken and the sync after them fails.
    Syncs,
    /// As Writes, and files are neither renamed nor truncated.
    AllChanges,
};

/// The disks of three processes, each of which can be full.
struct Disks
{
    std::array<std::atomic<bool>, 3> full{};

    [[nodiscard]] FileHooks hooksOf(int index, Refused refused)
    {
        const auto system = FileHooks::system();
        auto hooks = system;
        auto &isFull = full[static_cast<std::size_t>(index)];
        const auto refuse = [] {
            errno = ENOSPC;
            return -1;
        };
        hooks.write = [=, &isFull](int file, const void *bytes, std::size_t size) -> ssize_t {
            if (!isFull || refused == Refused::Syncs) {
                return system.write(file, bytes, size);
            }
            return size > 1 ? system.write(file, bytes, size / 2) : refuse();
        };
        hooks.sync = [=, &isFull](int file) {
            return isFull && refused == Refused::Syncs ? refuse() : system.sync(file);
        };
        hooks.rename = [=, &isFull](const std::string &from, const std::string &to) {
            return isFull && refused == Refused::AllChanges ? refuse() : system.rename(from, to);
        };
        hooks.truncate = [=, &isFull](int file, off_t size) {
            return isFull && refused == Refused::AllChanges ? refuse() : system.truncate(file, size);
        };
        return hooks;
    }
};

/// A group whose members' disks are full in turn while commands come in quick succession.
class FullDisks
{
public:
    explicit FullDisks(Refused refused)
        : m_group({}, [this, refused](int index) { return m_disks.hooksOf(index, refused); })
    {
    }

    ThreeReplicas &group()
    {
        return m_group;
    }

    asio::awaitable<void> pauseFor(milliseconds time)
    {
        Timer timer(m_group.io, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// Fills one disk for a time.
    asio::awaitable<void> fill(int index, milliseconds time)
    {
        auto &full = m_disks.full[static_cast<std::size_t>(index)];
        full = true;
        co_await pauseFor(time);
        full = false;
    }

    /// Proposes commands in quick succession until stopProposing().
    void startProposing()
    {
        asio::co_spawn(
            m_group.io,
            [this]() -> asio::awaitable<void> {
                while (!m_stopped) {
                    if (const auto index = m_group.leader(); index >= 0) {
                        (void)co_await m_group.at(index).log.propose("load-" + std::to_string(++m_proposed)
                                                                     + std::string(2000, 'x'));
                    }
                    co_await pauseFor(milliseconds(5));
                }
                m_ended = true;
            },
            asio::detached);
    }
    asio::awaitable<void> stopProposing()
    {
        m_stopped = true;
        co_await eventually([this] { return m_ended; });
    }

    /// Checks that the group accepts a command soon, and that all its members apply it.
    asio::awaitable<void> checkAccepts(const std::string &command)
    {
        bool accepted = false;
        const auto deadline = Clock::now() + MaxDelay;
        while (!accepted && Clock::now() < deadline) {
            if (const auto index = m_group.leader(); index >= 0) {
                accepted = (co_await m_group.at(index).log.propose(command)).has_value();
            }
            co_await pauseFor(milliseconds(10));
        }
        CHECK(accepted);
        co_await eventually(
            [&] {
                return std::all_of(m_group.replicas.begin(), m_group.replicas.end(), [&](const auto &replica) {
                    return !replica
                        || std::count(replica->stateMachine.commands.begin(), replica->stateMachine.commands.end(),
                                      command)
                        > 0;
                });
            },
            MaxDelay);
    }

    /// The bound of acknowledgements of the platform.
    static constexpr milliseconds MaxDelay{4000};

private:
    Disks m_disks;
    ThreeReplicas m_group;
    bool m_stopped = false;
    bool m_ended = false;
    int m_proposed = 0;
};

} // namespace

// Guards against changes that are refused or stay unanswered after the disks have room again.
TEST_CASE("a group whose disks were full one after another accepts commands, and elects a leader after the next loss")
{
    for (const auto refused : {Refused::Writes, Refused::Syncs, Refused::AllChanges}) {
        CAPTURE(static_cast<int>(refused));
        FullDisks disks(refused);
        auto &group = disks.group();
        group.run([&]() -> asio::awaitable<void> {
            (void)co_await group.waitForLeader();
            disks.startProposing();
            for (int round = 0; round < 2; ++round) {
                for (int i = 0; i < 3; ++i) {
                    co_await disks.fill(i, milliseconds(700));
                    // The next disk is full as soon as this one has room, before its member has caught up.
                    co_await disks.pauseFor(milliseconds(round * 300));
                }
            }
            co_await disks.stopProposing();
            co_await disks.checkAccepts("after");
            co_await group.stop(co_await group.waitForLeader());
            co_await disks.checkAccepts("after the loss");
        });
    }
}

// Guards against a group that has no leader for long since a vote was written to a full disk.
TEST_CASE("a group elects a leader soon after an election in which the disk of a voter was full")
{
    for (const auto refused : {Refused::Writes, Refused::Syncs, Refused::AllChanges}) {
        CAPTURE(static_cast<int>(refused));
        FullDisks disks(refused);
        auto &group = disks.group();
        group.run([&]() -> asio::awaitable<void> {
            for (int round = 0; round < 3; ++round) {
                const auto leader = co_await group.waitForLeader();
                // The leader goes while another disk is full, so that the vote of that member waits for room.
                const int other = (leader + 1) % 3;
                const int third = (leader + 2) % 3;
                co_await group.stop(leader);
                co_await disks.fill(other, milliseconds(2000));
                co_await disks.checkAccepts("after the first election " + std::to_string(round));
                group.start(leader);
                co_await disks.checkAccepts("with all members " + std::to_string(round));
                co_await disks.fill(third, milliseconds(500));
                co_await group.stop(co_await group.waitForLeader());
                co_await disks.checkAccepts("after the second election " + std::to_string(round));
                for (int i = 0; i < 3; ++i) {
                    if (!group.replicas[static_cast<std::size_t>(i)]) {
                        group.start(i);
                    }
                }
            }
        });
    }
}
