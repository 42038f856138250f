#include "tamarackcove/Control/State/SnapshotCodec.h"

#include "SnapshotParts.h"

#include <algorithm>

namespace tamarackcove {

static constexpr std::uint64_t SnapshotVersion = 1;

/// The kinds of recorded answers; their values are stored in snapshots.
enum class AnswerKind : std::uint64_t {
    Plan,
    Confirmed,
    Refused,
};

static void writeAnswer(SnapshotWriter &out, const PlanAnswer &answer, const ConfigurationState::Contents &contents)
{
    out.number(static_cast<std::uint64_t>(AnswerKind::Plan));
    // The content of a plan that is still pending is written only in the list of pending plans.
    out.text(answer.plan->id.value());
    const bool pending = contents.pending.contains(answer.plan->id);
    out.flag(pending);
    if (!pending) {
        writePlan(out, *answer.plan);
    }
}

static void writeAnswer(SnapshotWriter &out, const ConfirmedAnswer &answer,
                        const ConfigurationState::Contents & /*unused*/)
{
    out.number(static_cast<std::uint64_t>(AnswerKind::Confirmed));
    out.text(answer.plan.value());
    out.number(answer.revision.value());
}

static void writeAnswer(SnapshotWriter &out, const RefusedAnswer &answer,
                        const ConfigurationState::Contents & /*unused*/)
{
    out.number(static_cast<std::uint64_t>(AnswerKind::Refused));
    out.number(static_cast<std::uint64_t>(answer.error.code));
    out.text(answer.error.detail);
    out.number(answer.inForce.value());
    out.text(answer.lastConfirmedPlan.value());
}

static OperatorAnswer readAnswer(SnapshotReader &in, const ConfigurationState::Contents &contents)
{
    switch (static_cast<AnswerKind>(in.number())) {
    case AnswerKind::Plan: {
        const PlanId id(in.text());
        if (in.flag()) {
            const auto found = contents.pending.find(id);
            if (found == contents.pending.end()) {
                throw std::runtime_error("a recorded answer names a pending plan that is not in the snapshot");
            }
            return PlanAnswer{found->second};
        }
        return PlanAnswer{std::make_shared<const Plan>(readPlan(in))};
    }
    case AnswerKind::Confirmed: {
        ConfirmedAnswer answer;
        answer.plan = PlanId(in.text());
        answer.revision = Revision(in.number());
        return answer;
    }
    case AnswerKind::Refused: {
        RefusedAnswer answer;
        const auto code = in.number();
        if (code > static_cast<std::uint64_t>(ConfigurationErrorCode::CommandReused)) {
            throw std::runtime_error("the error code of a recorded answer is out of range");
        }
        answer.error.code = static_cast<ConfigurationErrorCode>(code);
        answer.error.detail = in.text();
        answer.inForce = Revision(in.number());
        answer.lastConfirmedPlan = PlanId(in.text());
        return answer;
    }
    }
    throw std::runtime_error("a recorded answer is of an unknown kind");
}

/// The serving configuration without its adapters, which are restored from the intents.
static ConfigurationDelta withoutAdapters(const ServingConfiguration &serving)
{
    ConfigurationDelta delta;
    delta.full = true;
    delta.to = serving.revision;
    delta.services = serving.services;
    delta.quarantined.assign(serving.quarantined.begin(), serving.quarantined.end());
    std::sort(delta.quarantined.begin(), delta.quarantined.end());
    delta.store = serving.store;
    delta.weights = serving.weights;
    return delta;
}

/// Writes for each adapter of the intent whether its version is current now, which may differ from the intent: a later
/// intent may have made another version current.
static void writeCurrentFlags(SnapshotWriter &out, const Intent &intent, const AdapterCatalog &adapters)
{
    for (const auto &entry : intent.adapters) {
        const auto record = adapters.find(entry.adapter);
        out.flag(record && record->current);
    }
}

static void readAdapters(SnapshotReader &in, const Intent &intent, AdapterCatalog &adapters)
{
    for (const auto &entry : intent.adapters) {
        const bool current = in.flag();
        adapters.put(
            entry.adapter,
            {.baseModel = entry.baseModel, .service = intent.service, .priority = intent.priority, .current = current});
    }
}

static void writeContents(SnapshotWriter &out, const ConfigurationState::Contents &contents)
{
    writeDelta(out, withoutAdapters(contents.serving));
    out.number(contents.operatorRevision.value());
    out.text(contents.lastConfirmedPlan.value());
    out.number(contents.plansCreated);
    writeAll(out, contents.intents, [&](const auto &entry) {
        writeIntent(out, *entry.second);
        writeCurrentFlags(out, *entry.second, contents.serving.adapters);
    });
    writeAll(out, contents.pending, [&](const auto &entry) { writePlan(out, *entry.second); });
    writeAll(out, contents.answerOrder, [&](const CommandId &id) {
        const auto &recorded = contents.answers.at(id);
        out.text(id.value());
        out.number(recorded.digest);
        out.time(recorded.recordedAt);
        std::visit([&](const auto &answer) { writeAnswer(out, answer, contents); }, recorded.answer);
    });
    writeAll(out, contents.history, [&](const auto &delta) { writeDelta(out, *delta); });
    out.time(contents.lastExpiry);
    writeAll(out, contents.zoneVotes, [&](const auto &entry) {
        out.text(entry.first.value());
        out.number(entry.second.number.value());
        out.text(entry.second.candidate.value());
    });
}

static ConfigurationState::Contents readContents(SnapshotReader &in)
{
    ConfigurationState::Contents contents;
    applyDelta(contents.serving, readDelta(in));
    contents.operatorRevision = Revision(in.number());
    contents.lastConfirmedPlan = PlanId(in.text());
    contents.plansCreated = in.number();
    readAll(in, [&] {
        auto intent = std::make_shared<const Intent>(readIntent(in));
        readAdapters(in, *intent, contents.serving.adapters);
        contents.intents.emplace(intent->name, intent);
    });
    readAll(in, [&] {
        auto plan = std::make_shared<const Plan>(readPlan(in));
        contents.pending.emplace(plan->id, plan);
    });
    readAll(in, [&] {
        CommandId id(in.text());
        ConfigurationState::RecordedAnswer recorded;
        recorded.digest = in.number();
        recorded.recordedAt = in.time();
        recorded.answer = readAnswer(in, contents);
        contents.answerOrder.push_back(id);
        contents.answers.emplace(std::move(id), std::move(recorded));
    });
    readAll(in, [&] {
        auto delta = std::make_shared<const ConfigurationDelta>(readDelta(in));
        contents.historyChanges += delta->size();
        contents.history.push_back(std::move(delta));
    });
    contents.lastExpiry = in.time();
    readAll(in, [&] {
        auto &vote = contents.zoneVotes[Zone(in.text())];
        vote.number = FencingNumber(in.number());
        vote.candidate = EntryId(in.text());
    });
    return contents;
}

std::string encodeSnapshot(const ConfigurationState &state)
{
    SnapshotWriter out;
    out.number(SnapshotVersion);
    writeContents(out, state.contents());
    writeCalls(out, state.calls().contents());
    writeQuarantine(out, state.quarantine().contents());
    return out.take();
}

Result<void, WireError> decodeSnapshot(std::string_view bytes, ConfigurationState &state)
{
    try {
        SnapshotReader in(bytes);
        if (in.number() != SnapshotVersion) {
            return WireError{WireErrorCode::UnsupportedVersion, "the snapshot has another format version"};
        }
        auto contents = readContents(in);
        auto calls = readCalls(in);
        auto quarantine = readQuarantine(in);
        if (!in.atEnd()) {
            return WireError{WireErrorCode::BadFrame, "the snapshot has bytes after its end"};
        }
        state.restore(std::move(contents), std::move(calls), std::move(quarantine));
    } catch (const std::exception &error) {
        return WireError{WireErrorCode::BadFrame, error.what()};
    }
    return ok();
}

} // namespace tamarackcove
