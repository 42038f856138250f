#include "tamarackcove/ControlBench/StateBench.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/ConfigurationState.h"
#include "tamarackcove/Control/State/CommandCodec.h"
#include "tamarackcove/Control/State/SnapshotCodec.h"

#include <malloc.h>
#include <stdexcept>

namespace tamarackcove {

using nlohmann::json;

// About as many adapters as fit into one command of the replicated log.
static constexpr int AdaptersPerIntent = 3000;

static std::size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

static std::shared_ptr<const Intent> makeIntent(int number, int adapters, int version)
{
    Intent intent;
    intent.name = IntentName("intent-" + std::to_string(number));
    intent.service = ServiceName("service-" + std::to_string(number % 8));
    for (int i = 0; i < adapters; ++i) {
        IntentAdapter adapter;
        const bool changed = i == 0;
        adapter.adapter = AdapterRef("customer-" + std::to_string(number) + "/adapter-" + std::to_string(i),
                                     std::to_string(changed ? version : 1));
        adapter.baseModel = BaseModel("base-model-" + std::to_string(number % 8));
        adapter.current = true;
        intent.adapters.push_back(std::move(adapter));
    }
    intent.normalise();
    return std::make_shared<const Intent>(std::move(intent));
}

/// Creates and confirms an intent. Encodes and decodes both commands as a replica does for the log.
static void putInForce(ConfigurationState &state, std::shared_ptr<const Intent> intent, int sequence, LeaderTime now)
{
    const auto apply = [&](const Command &command) {
        const auto decoded = decodeCommand(encodeCommand(command));
        return std::get<OperatorAnswer>(state.apply(now, decoded.value()));
    };
    CreateIntent create{.id = CommandId("create-" + std::to_string(sequence)), .intent = std::move(intent)};
    const auto created = apply(Command(std::move(create)));
    const auto *plan = std::get_if<PlanAnswer>(&created);
    if (plan == nullptr) {
        throw std::runtime_error("an intent that the benchmark created was refused");
    }
    ConfirmPlan confirm{
        .id = CommandId("confirm-" + std::to_string(sequence)), .plan = plan->plan->id, .base = plan->plan->base};
    (void)apply(Command(std::move(confirm)));
}

template<typename Work>
static double elapsedMilliseconds(Work work)
{
    const auto startedAt = Clock::now();
    work();
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

json runStateBench(int adapters)
{
    const auto before = allocatedBytes();
    ConfigurationState state;
    LeaderTime now{std::chrono::hours(1000)};
    int sequence = 0;
    int addedAdapters = 0;
    const auto fillTime = elapsedMilliseconds([&] {
        for (int number = 0; addedAdapters < adapters; ++number) {
            const int count = std::min(AdaptersPerIntent, adapters - addedAdapters);
            putInForce(state, makeIntent(number, count, 1), ++sequence, now);
            addedAdapters += count;
        }
    });
    const auto filledBytes = allocatedBytes() - before;
    // The state keeps the answers to commands, with their plans, for 24 h. The first command applied later than that
    // drops them, so this one measures the memory without them.
    now += std::chrono::hours(25);
    putInForce(state, makeIntent(0, std::min(AdaptersPerIntent, adapters), 2), ++sequence, now);
    const auto bytesAfterExpiry = allocatedBytes() - before;

    constexpr int Changes = 20;
    const auto changeTime = elapsedMilliseconds([&] {
        for (int i = 0; i < Changes; ++i) {
            putInForce(state, makeIntent(0, std::min(AdaptersPerIntent, adapters), 3 + i), ++sequence, now);
        }
    });
    constexpr int SmallChanges = 1000;
    const auto smallChangeTime = elapsedMilliseconds([&] {
        for (int i = 0; i < SmallChanges; ++i) {
            putInForce(state, makeIntent(1000000, 1, i), ++sequence, now);
        }
    });
    std::string snapshot;
    const auto saveTime = elapsedMilliseconds([&] { snapshot = encodeSnapshot(state); });
    ConfigurationState restored;
    const auto loadTime = elapsedMilliseconds([&] {
        if (decodeSnapshot(snapshot, restored).has_error()) {
            throw std::runtime_error("the snapshot that the benchmark saved cannot be decoded");
        }
    });
    return {{"adapters", adapters},
            {"fill_ms", fillTime},
            {"state_bytes_just_filled", filledBytes},
            {"state_bytes_a_day_later", bytesAfterExpiry},
            {"catalog_bytes", state.servingConfiguration().adapters.memoryBytes()},
            {"change_in_intent_of_3000_ms", changeTime / Changes},
            {"change_in_intent_of_1_ms", smallChangeTime / SmallChanges},
            {"snapshot_bytes", snapshot.size()},
            {"snapshot_save_ms", saveTime},
            {"snapshot_load_ms", loadTime}};
}

} // namespace tamarackcove
