#include "SimulatedGroup.h"

// State machines and disks of the simulated group.

namespace tamarackcove::test {

void SimulatedGroup::apply(SimulatedNode &node, const LogEntry &entry)
{
    if (entry.index != node.appliedIndex + 1) {
        recordViolation(node.name + " applied entry " + std::to_string(entry.index) + " directly after entry "
                        + std::to_string(node.appliedIndex));
    }
    if (entry.time < node.lastTime) {
        recordViolation("the times of applied entries decreased on " + node.name);
    }
    node.lastTime = entry.time;
    node.appliedIndex = entry.index;
    node.stateHash = node.stateHash * 1000003 + std::hash<std::string>()(entry.command) + entry.index;
    const CommittedEntry committedEntry{.term = entry.term, .command = entry.command, .stateHash = node.stateHash};
    const auto [existing, added] = m_committed.emplace(entry.index, committedEntry);
    if (existing->second.term != committedEntry.term || existing->second.command != committedEntry.command) {
        recordViolation("different entries committed at index " + std::to_string(entry.index));
    }
    if (existing->second.stateHash != committedEntry.stateHash) {
        recordViolation("states of two nodes differ after index " + std::to_string(entry.index));
    }
    const auto proposal = node.pendingProposals.extract(entry.index);
    if (proposal && proposal.mapped() == entry.term) {
        m_highestAcknowledgedIndex = std::max(m_highestAcknowledgedIndex, entry.index);
        ++m_acknowledgedCount;
    }
}

void SimulatedGroup::applySnapshot(SimulatedNode &node, const SnapshotImage &image)
{
    node.stateHash = std::stoull(*image.bytes);
    node.appliedIndex = node.lastSnapshotIndex = image.lastIndex;
    node.lastTime = image.lastTime;
    const auto existing = m_committed.find(image.lastIndex);
    if (existing == m_committed.end() || existing->second.stateHash != node.stateHash) {
        recordViolation("the state in a snapshot differs from the state after its last index");
    }
}

void SimulatedGroup::saveSnapshot(SimulatedNode &node)
{
    if (node.appliedIndex < node.lastSnapshotIndex + m_options.snapshotEvery
        || node.appliedIndex <= node.replica->log().base().index) {
        return;
    }
    const auto &last = *node.replica->log().at(node.appliedIndex);
    const SnapshotImage image{.lastIndex = node.appliedIndex,
                              .lastTerm = last.term,
                              .lastTime = last.time,
                              .group = node.replica->log().groupAt(node.appliedIndex),
                              .bytes = std::make_shared<const std::string>(std::to_string(node.stateHash))};
    node.lastSnapshotIndex = node.appliedIndex;
    node.disk.snapshot = image;
    std::erase_if(node.disk.entries, [&](const auto &entry) { return entry->index <= image.lastIndex; });
    node.replica->recordSavedSnapshot(image);
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
    while (!node.pendingPersists.empty() && node.pendingPersists.front().completesAt <= m_now) {
        const auto request = std::move(node.pendingPersists.front().request);
        node.pendingPersists.pop_front();
        writeToDisk(node.disk, request);
        if (request.snapshot) {
            applySnapshot(node, *request.snapshot);
        }
        node.replica->markPersisted(request.sequence, localNow(node));
        processOutput(node);
    }
}

} // namespace tamarackcove::test
