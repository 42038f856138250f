#include "SnapshotParts.h"

namespace tamarackcove {

static void writeAdapter(SnapshotWriter &out, const AdapterRef &adapter)
{
    out.text(adapter.name());
    out.text(adapter.version());
}

static AdapterRef readAdapter(SnapshotReader &in)
{
    auto name = in.text();
    auto version = in.text();
    return {std::move(name), std::move(version)};
}

static Priority readPriority(SnapshotReader &in)
{
    const auto value = in.number();
    if (value > static_cast<std::uint64_t>(Priority::High)) {
        throw std::runtime_error("a priority is out of range");
    }
    return static_cast<Priority>(value);
}

static void writeRoute(SnapshotWriter &out, const ServiceRoute &route)
{
    out.flag(route.repeatable);
    out.number(static_cast<std::uint64_t>(route.timeout.count()));
    out.number(static_cast<std::uint64_t>(route.sharePercent));
}

static ServiceRoute readRoute(SnapshotReader &in)
{
    ServiceRoute route;
    route.repeatable = in.flag();
    route.timeout = milliseconds(in.number());
    route.sharePercent = static_cast<int>(in.number());
    return route;
}

static void writeLimits(SnapshotWriter &out, const std::optional<StoreLimits> &store,
                        const std::optional<PolicyWeights> &weights)
{
    out.flag(store.has_value());
    if (store) {
        out.real(store->loadsPerSecond);
        out.number(static_cast<std::uint64_t>(store->concurrentLoads));
    }
    out.flag(weights.has_value());
    if (weights) {
        out.real(weights->loadStall);
        out.real(weights->batchEfficiency);
    }
}

static void readLimits(SnapshotReader &in, std::optional<StoreLimits> &store, std::optional<PolicyWeights> &weights)
{
    if (in.flag()) {
        store.emplace();
        store->loadsPerSecond = in.real();
        store->concurrentLoads = static_cast<int>(in.number());
    }
    if (in.flag()) {
        weights.emplace();
        weights->loadStall = in.real();
        weights->batchEfficiency = in.real();
    }
}

void writeIntent(SnapshotWriter &out, const Intent &intent)
{
    out.text(intent.name.value());
    out.text(intent.service.value());
    out.number(static_cast<std::uint64_t>(intent.priority));
    writeAll(out, intent.adapters, [&](const IntentAdapter &entry) {
        writeAdapter(out, entry.adapter);
        out.text(entry.baseModel.value());
        out.flag(entry.current);
    });
    out.flag(intent.route.has_value());
    if (intent.route) {
        writeRoute(out, *intent.route);
    }
    writeLimits(out, intent.store, intent.weights);
}

Intent readIntent(SnapshotReader &in)
{
    Intent intent;
    intent.name = IntentName(in.text());
    intent.service = ServiceName(in.text());
    intent.priority = readPriority(in);
    readAll(in, [&] {
        IntentAdapter entry;
        entry.adapter = readAdapter(in);
        entry.baseModel = BaseModel(in.text());
        entry.current = in.flag();
        intent.adapters.push_back(std::move(entry));
    });
    if (in.flag()) {
        intent.route = readRoute(in);
    }
    readLimits(in, intent.store, intent.weights);
    return intent;
}

void writeDelta(SnapshotWriter &out, const ConfigurationDelta &delta)
{
    out.flag(delta.full);
    out.number(delta.from.value());
    out.number(delta.to.value());
    writeAll(out, delta.removed, [&](const AdapterRef &adapter) { writeAdapter(out, adapter); });
    writeAll(out, delta.put, [&](const AdapterPut &entry) {
        writeAdapter(out, entry.adapter);
        out.text(entry.record.baseModel.value());
        out.text(entry.record.service.value());
        out.number(static_cast<std::uint64_t>(entry.record.priority));
        out.flag(entry.record.current);
    });
    writeAll(out, delta.services, [&](const auto &entry) {
        out.text(entry.first.value());
        writeRoute(out, entry.second);
    });
    writeAll(out, delta.removedServices, [&](const ServiceName &name) { out.text(name.value()); });
    writeAll(out, delta.quarantined, [&](std::uint64_t fingerprint) { out.number(fingerprint); });
    writeAll(out, delta.released, [&](std::uint64_t fingerprint) { out.number(fingerprint); });
    writeLimits(out, delta.store, delta.weights);
}

ConfigurationDelta readDelta(SnapshotReader &in)
{
    ConfigurationDelta delta;
    delta.full = in.flag();
    delta.from = Revision(in.number());
    delta.to = Revision(in.number());
    readAll(in, [&] { delta.removed.push_back(readAdapter(in)); });
    readAll(in, [&] {
        AdapterPut entry;
        entry.adapter = readAdapter(in);
        entry.record.baseModel = BaseModel(in.text());
        entry.record.service = ServiceName(in.text());
        entry.record.priority = readPriority(in);
        entry.record.current = in.flag();
        delta.put.push_back(std::move(entry));
    });
    readAll(in, [&] {
        ServiceName name(in.text());
        delta.services[std::move(name)] = readRoute(in);
    });
    readAll(in, [&] { delta.removedServices.emplace(in.text()); });
    readAll(in, [&] { delta.quarantined.push_back(in.number()); });
    readAll(in, [&] { delta.released.push_back(in.number()); });
    readLimits(in, delta.store, delta.weights);
    return delta;
}

void writePlan(SnapshotWriter &out, const Plan &plan)
{
    out.text(plan.id.value());
    out.number(plan.base.value());
    writeIntent(out, *plan.intent);
    writeDelta(out, plan.changes);
    writeAll(out, plan.added, [&](const AdapterRef &adapter) { writeAdapter(out, adapter); });
    writeAll(out, plan.currentVersionChanges, [&](const CurrentVersionChange &change) {
        out.text(change.name);
        out.text(change.from);
        out.text(change.to);
    });
}

Plan readPlan(SnapshotReader &in)
{
    Plan plan;
    plan.id = PlanId(in.text());
    plan.base = Revision(in.number());
    plan.intent = std::make_shared<const Intent>(readIntent(in));
    plan.changes = readDelta(in);
    readAll(in, [&] { plan.added.push_back(readAdapter(in)); });
    readAll(in, [&] {
        CurrentVersionChange change;
        change.name = in.text();
        change.from = in.text();
        change.to = in.text();
        plan.currentVersionChanges.push_back(std::move(change));
    });
    return plan;
}

void writeCalls(SnapshotWriter &out, const CallLedger::Contents &calls)
{
    writeAll(out, calls.records, [&](const auto &entry) {
        const auto &[key, record] = entry;
        out.text(key);
        out.number(record.digest);
        out.text(record.entry.value());
        out.text(record.attempt.value());
        out.time(record.reservedAt);
        out.number(static_cast<std::uint64_t>(record.state));
        out.number(static_cast<std::uint64_t>(record.status));
        out.text(record.contentType);
        out.text(record.body);
    });
    for (const auto *queue : {&calls.reservationOrder, &calls.completionOrder}) {
        writeAll(out, *queue, [&](const CallLedger::QueuedKey &entry) {
            out.time(entry.reservedAt);
            out.text(entry.key);
        });
    }
    out.number(calls.answerBytes);
}

CallLedger::Contents readCalls(SnapshotReader &in)
{
    CallLedger::Contents calls;
    readAll(in, [&] {
        auto key = in.text();
        CallRecord record;
        record.digest = in.number();
        record.entry = EntryId(in.text());
        record.attempt = RequestId(in.text());
        record.reservedAt = in.time();
        const auto state = in.number();
        if (state > static_cast<std::uint64_t>(CallState::AnswerDropped)) {
            throw std::runtime_error("a call state is out of range");
        }
        record.state = static_cast<CallState>(state);
        record.status = static_cast<int>(in.number());
        record.contentType = in.text();
        record.body = in.text();
        calls.records.emplace(std::move(key), std::move(record));
    });
    for (auto *queue : {&calls.reservationOrder, &calls.completionOrder}) {
        readAll(in, [&] {
            CallLedger::QueuedKey entry;
            entry.reservedAt = in.time();
            entry.key = in.text();
            queue->push_back(std::move(entry));
        });
    }
    calls.answerBytes = in.number();
    return calls;
}

static void writeCrashId(SnapshotWriter &out, const QuarantineLedger::CrashId &crash)
{
    out.text(crash.target.value());
    out.number(crash.incarnation.value());
}

static QuarantineLedger::CrashId readCrashId(SnapshotReader &in)
{
    TargetId target(in.text());
    return {.target = std::move(target), .incarnation = Incarnation(in.number())};
}

void writeQuarantine(SnapshotWriter &out, const QuarantineLedger::Contents &quarantine)
{
    writeAll(out, quarantine.crashes, [&](const auto &entry) {
        writeCrashId(out, entry.first);
        out.time(entry.second.firstReportedAt);
        writeAll(out, entry.second.fingerprints, [&](std::uint64_t fingerprint) { out.number(fingerprint); });
        writeAll(out, entry.second.earlierSuspects, [&](std::uint64_t fingerprint) { out.number(fingerprint); });
    });
    writeAll(out, quarantine.suspects, [&](const auto &entry) {
        out.number(entry.first);
        writeCrashId(out, entry.second.firstCrash);
        out.time(entry.second.suspectedSince);
    });
    writeAll(out, quarantine.quarantined, [&](const auto &entry) {
        out.number(entry.first);
        writeCrashId(out, entry.second);
    });
    writeAll(out, quarantine.quarantineOrder, [&](std::uint64_t fingerprint) { out.number(fingerprint); });
}

QuarantineLedger::Contents readQuarantine(SnapshotReader &in)
{
    QuarantineLedger::Contents quarantine;
    readAll(in, [&] {
        auto &crash = quarantine.crashes[readCrashId(in)];
        crash.firstReportedAt = in.time();
        readAll(in, [&] { crash.fingerprints.insert(in.number()); });
        readAll(in, [&] { crash.earlierSuspects.insert(in.number()); });
    });
    readAll(in, [&] {
        auto &suspect = quarantine.suspects[in.number()];
        suspect.firstCrash = readCrashId(in);
        suspect.suspectedSince = in.time();
    });
    readAll(in, [&] {
        const auto fingerprint = in.number();
        quarantine.quarantined.emplace(fingerprint, readCrashId(in));
    });
    readAll(in, [&] { quarantine.quarantineOrder.push_back(in.number()); });
    return quarantine;
}

} // namespace tamarackcove
