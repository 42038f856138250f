#include "tamarackcove/Configuration/ConfigurationState.h"

#include <doctest/doctest.h>
#include <random>

using namespace tamarackcove;

namespace {

const LeaderTime Start{std::chrono::hours(1000)};

IntentAdapter adapter(const std::string &name, const std::string &version, bool current = false)
{
    return {.adapter = AdapterRef(name, version), .baseModel = BaseModel("base"), .current = current};
}

CreateIntent create(const std::string &id, const std::string &name, std::vector<IntentAdapter> adapters)
{
    Intent intent;
    intent.name = IntentName(name);
    intent.service = ServiceName("drafting");
    intent.adapters = std::move(adapters);
    intent.normalise();
    return {.id = CommandId(id), .intent = std::make_shared<const Intent>(std::move(intent)), .digest = 1};
}

ConfirmPlan confirm(const std::string &id, const Plan &plan)
{
    return {.id = CommandId(id), .plan = plan.id, .base = plan.base, .digest = 2};
}

template<typename T>
T expectAnswer(const CommandAnswer &answer)
{
    const auto &one = std::get<OperatorAnswer>(answer);
    REQUIRE(std::holds_alternative<T>(one));
    return std::get<T>(one);
}

std::shared_ptr<const Plan> createPlan(ConfigurationState &state, const CreateIntent &command, LeaderTime now = Start)
{
    return expectAnswer<PlanAnswer>(state.apply(now, Command(command))).plan;
}

/// Creates and confirms a plan; returns the new revision.
Revision createAndConfirm(ConfigurationState &state, const CreateIntent &command, LeaderTime now = Start)
{
    const auto plan = createPlan(state, command, now);
    return expectAnswer<ConfirmedAnswer>(state.apply(now, Command(confirm(command.id.value() + "-c", *plan)))).revision;
}

bool sameServing(const ServingConfiguration &left, const ServingConfiguration &right)
{
    const auto one = fullDelta(left);
    const auto two = fullDelta(right);
    const auto sameAdapter = [](const AdapterPut &a, const AdapterPut &b) {
        return a.adapter == b.adapter && a.record.baseModel == b.record.baseModel
            && a.record.service == b.record.service && a.record.priority == b.record.priority
            && a.record.current == b.record.current;
    };
    return one.to == two.to && std::equal(one.put.begin(), one.put.end(), two.put.begin(), two.put.end(), sameAdapter)
        && one.services == two.services && one.quarantined == two.quarantined && one.store == two.store
        && one.weights == two.weights;
}

} // namespace

TEST_CASE(
    "of two plans with the same base revision the second is refused with the revision in force and the confirmed plan")
{
    ConfigurationState state;
    const auto first = createPlan(state, create("1", "a", {adapter("x", "1", true)}));
    const auto second = createPlan(state, create("2", "b", {adapter("y", "1", true)}));
    CHECK(expectAnswer<ConfirmedAnswer>(state.apply(Start, Command(confirm("3", *first)))).revision == Revision(1));
    const auto refused = expectAnswer<RefusedAnswer>(state.apply(Start, Command(confirm("4", *second))));
    CHECK(refused.error.code == ConfigurationErrorCode::Conflict);
    CHECK(refused.inForce == Revision(1));
    CHECK(refused.lastConfirmedPlan == first->id);
    CHECK_FALSE(state.servingConfiguration().adapters.find(AdapterRef("y", "1")));
}

TEST_CASE("a plan lists added, removed, changed and current versions, and has no effect before its confirmation")
{
    ConfigurationState state;
    createAndConfirm(state, create("1", "a", {adapter("x", "1", true), adapter("y", "1")}));
    auto wanted = create("2", "a", {adapter("x", "1"), adapter("x", "2", true), adapter("z", "1")});
    const auto plan = createPlan(state, wanted);
    CHECK(plan->added == std::vector<AdapterRef>{AdapterRef("x", "2"), AdapterRef("z", "1")});
    CHECK(plan->changes.removed == std::vector<AdapterRef>{AdapterRef("y", "1")});
    CHECK(plan->changes.put.size() == 3);
    REQUIRE(plan->currentVersionChanges.size() == 1);
    CHECK(plan->currentVersionChanges[0].from == "1");
    CHECK(plan->currentVersionChanges[0].to == "2");
    CHECK(state.servingConfiguration().revision == Revision(1));
    CHECK(state.servingConfiguration().adapters.find(AdapterRef("y", "1")));
}

TEST_CASE("an invalid intent or one with an adapter of another intent is refused")
{
    ConfigurationState state;
    createAndConfirm(state, create("1", "a", {adapter("x", "1")}));
    const auto code = [&](const CreateIntent &command) {
        return expectAnswer<RefusedAnswer>(state.apply(Start, Command(command))).error.code;
    };
    CHECK(code(create("2", "b", {adapter("x", "1")})) == ConfigurationErrorCode::AdapterOwned);
    CHECK(code(create("3", "b", {adapter("y", "1", true), adapter("y", "2", true)}))
          == ConfigurationErrorCode::InvalidIntent);
    CHECK(code(create("4", "b", {adapter("y", "1"), adapter("y", "1")})) == ConfigurationErrorCode::InvalidIntent);
    CHECK(code(create("5", "b", {adapter("no spaces", "1")})) == ConfigurationErrorCode::InvalidIntent);
    CHECK(code(create("6", "", {})) == ConfigurationErrorCode::InvalidIntent);
}

TEST_CASE(
    "a resent command returns its first answer without a second effect, and another command with its id is refused")
{
    ConfigurationState state;
    const auto command = create("1", "a", {adapter("x", "1")});
    const auto plan = createPlan(state, command);
    CHECK(createPlan(state, command)->id == plan->id);
    CHECK(state.contents().pending.size() == 1);
    const auto confirmation = confirm("2", *plan);
    CHECK(expectAnswer<ConfirmedAnswer>(state.apply(Start, Command(confirmation))).revision == Revision(1));
    createAndConfirm(state, create("3", "b", {adapter("y", "1")}));
    CHECK(expectAnswer<ConfirmedAnswer>(state.apply(Start, Command(confirmation))).revision == Revision(1));
    CHECK(state.servingConfiguration().revision == Revision(2));
    auto other = create("1", "a", {adapter("x", "2")});
    other.digest = 99;
    CHECK(expectAnswer<RefusedAnswer>(state.apply(Start, Command(other))).error.code
          == ConfigurationErrorCode::CommandReused);
}

TEST_CASE("a quarantine change does not invalidate pending plans")
{
    ConfigurationState state;
    const auto plan = createPlan(state, create("1", "a", {adapter("x", "1")}));
    for (const auto *target : {"t1", "t2"}) {
        state.apply(
            Start,
            Command(ReportCrash{.target = TargetId(target), .incarnation = Incarnation(1), .fingerprints = {7}}));
    }
    CHECK(state.servingConfiguration().revision == Revision(1));
    CHECK(state.servingConfiguration().quarantined.contains(7));
    CHECK(expectAnswer<ConfirmedAnswer>(state.apply(Start, Command(confirm("2", *plan)))).revision == Revision(2));
}

TEST_CASE("the changes since any revision, even one before the history, lead an entry to the same configuration")
{
    ConfigurationState::Limits limits;
    limits.maxHistoryRevisions = 20;
    ConfigurationState state(limits);
    std::mt19937 random(7);
    std::vector<ServingConfiguration> entries(1);
    for (int round = 0; round < 200; ++round) {
        std::vector<IntentAdapter> adapters;
        const auto intent = std::to_string(random() % 3);
        for (int i = 0; i < 5; ++i) {
            auto one = adapter(intent + "-" + std::to_string(i), std::to_string(random() % 3), random() % 2 == 0);
            one.baseModel = BaseModel("base-" + std::to_string(random() % 2));
            adapters.push_back(std::move(one));
        }
        createAndConfirm(state, create(std::to_string(round), intent, std::move(adapters)));
        // Each round updates one random entry, so that the others fall behind. Copies of entries that are
        // behind add more entries at old revisions.
        if (random() % 4 == 0) {
            entries.push_back(entries[random() % entries.size()]);
        }
        auto &entry = entries[random() % entries.size()];
        const auto delta = state.changesSince(entry.revision);
        CHECK(delta.full == (state.servingConfiguration().revision.value() - entry.revision.value() > 20));
        applyDelta(entry, delta);
        REQUIRE(sameServing(entry, state.servingConfiguration()));
    }
}

TEST_CASE("recorded answers and call reservations expire 24 hours after they were recorded, by leader time")
{
    using std::chrono::hours;
    ConfigurationState state;
    const auto command = create("1", "a", {adapter("x", "1")});
    const auto plan = createPlan(state, command);
    const ReserveCall call{.key = "k", .digest = 1, .entry = EntryId("e"), .attempt = RequestId("r")};
    const auto decision = [&](LeaderTime now) {
        return std::get<ReservationAnswer>(state.apply(now, Command(call))).decision;
    };
    CHECK(decision(Start) == CallDecision::Granted);
    state.apply(Start, Command(CompleteCall{.key = "k", .entry = EntryId("e"), .status = 200}));
    CHECK(decision(Start + hours(23)) == CallDecision::Completed);
    CHECK(createPlan(state, command, Start + hours(23))->id == plan->id);
    CHECK(decision(Start + hours(25)) == CallDecision::Granted);
    CHECK(createPlan(state, command, Start + hours(25))->id != plan->id);
}
