#include "SimulatedGroup.h"

// The state machines and disks of the simulated group.

namespace tamarackcove::test {

void SimulatedGroup::apply(SimulatedNode &node, const LogEntry &entry)
{
    if (entry.index != node.applied + 1) {
        report(node.name + " applied " + std::to_string(entry.index) + " after " + std::to_string(node.applied));
    }
    if (entry.time < node.lastTime) {
        report("the time of the commands went back on " + node.name);
    }
    node.lastTime = entry.time;
    node.applied = entry.index;
    node.stateHash = node.stateHash * 1000003 + std::hash<std::string>()(entry.command) + entry.index;
    const Decision decision{.term = entry.term, .command = entry.command, .stateHash = node.stateHash};
    const auto [known, added] = m_decided.emplace(entry.index, decision);
    if (known->second.term != decision.term || known->second.command != decision.command) {
        report("two decisions for slot " + std::to_string(entry.index));
    }
    if (known->second.stateHash != decision.stateHash) {
        report("states differ at " + std::to_string(entry.index));
    }
    const auto proposal = node.proposals.extract(entry.index);
    if (proposal && proposal.mapped() == entry.term) {
        m_acknowledgedIndex = std::max(m_acknowledgedIndex, entry.index);
        ++m_acknowledged;
    }
}

void SimulatedGroup::applySnapshot(SimulatedNode &node, const SnapshotImage &image)
{
    node.stateHash = std::stoull(*image.bytes);
    node.applied = node.lastSnapshot = image.lastIndex;
    node.lastTime = image.lastTime;
    const auto known = m_decided.find(image.lastIndex);
    if (known == m_decided.end() || known->second.stateHash != node.stateHash) {
        report("a snapshot holds another state than was decided");
    }
}

void SimulatedGroup::saveSnapshot(SimulatedNode &node)
{
    if (node.applied < node.lastSnapshot + m_options.snapshotEvery
        || node.applied <= node.replica->log().base().index) {
        return;
    }
    const auto &last = *node.replica->log().at(node.applied);
    const SnapshotImage image{.lastIndex = node.applied,
                              .lastTerm = last.term,
                              .lastTime = last.time,
                              .group = node.replica->log().groupAt(node.applied),
                              .bytes = std::make_shared<const std::string>(std::to_string(node.stateHash))};
    node.lastSnapshot = node.applied;
    node.disk.snapshot = image;
    std::erase_if(node.disk.entries, [&](const auto &entry) { return entry->index <= image.lastIndex; });
    node.replica->snapshotSaved(image);
}

void SimulatedGroup::writeToDisk(RecoveredState &disk, const PersistRequest &request)
{
    if (request.hardState) {
        disk.hardState = *request.hardState;
    }
    if (request.snapshot) {
        disk.snapshot = request.snapshot;
        disk.entries.clear();
    }
    for (const auto &entry : request.entries) {
        if (disk.snapshot && entry->index <= disk.snapshot->lastIndex) {
            continue;
        }
        while (!disk.entries.empty() && disk.entries.back()->index >= entry->index) {
            disk.entries.pop_back();
        }
        disk.entries.push_back(entry);
    }
}

void SimulatedGroup::completePersists(SimulatedNode &node)
{
    while (!node.persists.empty() && node.persists.front().due <= m_now) {
        const auto request = std::move(node.persists.front().request);
        node.persists.pop_front();
        writeToDisk(node.disk, request);
        if (request.snapshot) {
            applySnapshot(node, *request.snapshot);
        }
        node.replica->persisted(request.sequence, localNow(node));
        settle(node);
    }
}

} // namespace tamarackcove::test
