#include "tamarackcove/ControlBench/StateBench.h"

#include "tamarackcove/Base/Time.h"
#include "tamarackcove/Configuration/ConfigurationState.h"
#include "tamarackcove/Control/State/CommandCodec.h"
#include "tamarackcove/Control/State/SnapshotCodec.h"

#include <malloc.h>
#include <stdexcept>

namespace tamarackcove {

using nlohmann::json;

// About what fits into one command of the replicated log.
static constexpr int AdaptersPerIntent = 3000;

static std::size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

static std::shared_ptr<const Intent> intentOf(int number, int adapters, int version)
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

/// Creates and confirms an intent through the encoding of the log, as a replica does.
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
        throw std::runtime_error("an intent of the measurement was refused");
    }
    ConfirmPlan confirm{
        .id = CommandId("confirm-" + std::to_string(sequence)), .plan = plan->plan->id, .base = plan->plan->base};
    (void)apply(Command(std::move(confirm)));
}

template<typename Work>
static double millisecondsOf(Work work)
{
    const auto began = Clock::now();
    work();
    return std::chrono::duration<double, std::milli>(Clock::now() - began).count();
}

json runStateBench(int adapters)
{
    const auto before = allocatedBytes();
    ConfigurationState state;
    LeaderTime now{std::chrono::hours(1000)};
    int sequence = 0;
    int made = 0;
    const auto fill = millisecondsOf([&] {
        for (int number = 0; made < adapters; ++number) {
            const int count = std::min(AdaptersPerIntent, adapters - made);
            putInForce(state, intentOf(number, count, 1), ++sequence, now);
            made += count;
        }
    });
    const auto filled = allocatedBytes() - before;
    // A day later the answers to the commands that filled the state are forgotten, and their plans with them.
    now += std::chrono::hours(25);
    putInForce(state, intentOf(0, std::min(AdaptersPerIntent, adapters), 2), ++sequence, now);
    const auto dayLater = allocatedBytes() - before;

    constexpr int Changes = 20;
    const auto changing = millisecondsOf([&] {
        for (int i = 0; i < Changes; ++i) {
            putInForce(state, intentOf(0, std::min(AdaptersPerIntent, adapters), 3 + i), ++sequence, now);
        }
    });
    constexpr int SmallChanges = 1000;
    const auto smallChanging = millisecondsOf([&] {
        for (int i = 0; i < SmallChanges; ++i) {
            putInForce(state, intentOf(1000000, 1, i), ++sequence, now);
        }
    });
    std::string snapshot;
    const auto saving = millisecondsOf([&] { snapshot = encodeSnapshot(state); });
    ConfigurationState restored;
    const auto loading = millisecondsOf([&] {
        if (decodeSnapshot(snapshot, restored).has_error()) {
            throw std::runtime_error("the snapshot of the measurement cannot be read");
        }
    });
    return {{"adapters", adapters},
            {"fill_ms", fill},
            {"state_bytes_just_filled", filled},
            {"state_bytes_a_day_later", dayLater},
            {"catalog_bytes", state.serving().adapters.memoryBytes()},
            {"change_in_intent_of_3000_ms", changing / Changes},
            {"change_in_intent_of_1_ms", smallChanging / SmallChanges},
            {"snapshot_bytes", snapshot.size()},
            {"snapshot_save_ms", saving},
            {"snapshot_load_ms", loading}};
}

} // namespace tamarackcove
