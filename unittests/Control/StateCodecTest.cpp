#include "tamarackcove/Control/State/CommandCodec.h"
#include "tamarackcove/Control/State/IntentJson.h"
#include "tamarackcove/Control/State/SnapshotCodec.h"
#include "tamarackcove/Wire/Codec.h"
#include "tamarackcove/Wire/ControlMessages.h"
#include "tamarackcove/Wire/DeltaCodec.h"

#include <doctest/doctest.h>
#include <random>

using namespace tamarackcove;

namespace {

std::string text(std::uint32_t number)
{
    return std::to_string(number);
}

/// Returns a command of a random kind. Ids and keys come from small ranges, so that they collide often.
Command randomCommand(std::mt19937 &random, const ConfigurationState &state)
{
    const auto pick = [&](unsigned below) {
        return static_cast<std::uint32_t>(random() % below);
    };
    const EntryId entry("e" + text(pick(3)));
    switch (pick(8)) {
    case 0:
    case 1: {
        Intent intent;
        intent.name = IntentName("i" + text(pick(4)));
        intent.service = ServiceName("s" + text(pick(3)));
        intent.priority = static_cast<Priority>(pick(3));
        for (std::uint32_t i = 0; i < pick(6); ++i) {
            IntentAdapter adapter;
            adapter.adapter = AdapterRef(intent.name.value() + "-" + text(i), text(pick(2)));
            adapter.baseModel = BaseModel("b" + text(pick(2)));
            adapter.current = pick(2) == 0;
            intent.adapters.push_back(std::move(adapter));
        }
        if (pick(3) == 0) {
            intent.route = ServiceRoute{.repeatable = pick(2) == 0};
        }
        if (pick(4) == 0) {
            intent.store = StoreLimits{.loadsPerSecond = 0.5 * (1 + pick(9))};
            intent.weights = PolicyWeights{.loadStall = 2.5};
        }
        intent.normalise();
        return CreateIntent{.id = CommandId(text(pick(200))),
                            .intent = std::make_shared<const Intent>(std::move(intent)),
                            .digest = pick(2)};
    }
    case 2: {
        ConfirmPlan confirm{.id = CommandId("c" + text(pick(200))), .plan = PlanId("plan-1")};
        const auto &pending = state.contents().pending;
        if (!pending.empty()) {
            confirm.plan = pending.begin()->first;
            confirm.base = pending.begin()->second->base;
        }
        return confirm;
    }
    case 3:
        return ReserveCall{.key = "k" + text(pick(20)), .digest = pick(2), .entry = entry, .attempt = RequestId("a")};
    case 4:
        return CompleteCall{
            .key = "k" + text(pick(20)), .entry = entry, .status = 200, .contentType = "x", .body = "\xff\x01"};
    case 5:
        return ReleaseCall{.key = "k" + text(pick(20)), .entry = entry};
    case 6:
        return ReportCrash{.target = TargetId("t" + text(pick(9))),
                           .incarnation = Incarnation(pick(3)),
                           .fingerprints = {pick(9), pick(9)}};
    default:
        if (pick(2) == 0) {
            return ClearSuspect{.fingerprint = pick(9)};
        }
        return RecordVote{.zone = Zone("z"), .candidate = entry, .number = FencingNumber(pick(50))};
    }
}

} // namespace

TEST_CASE("a replica that restarts from a snapshot at any point gives the same answers and the same next snapshot")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        ConfigurationState original;
        ConfigurationState restarted;
        LeaderTime now{std::chrono::hours(1000)};
        for (int step = 0; step < 400; ++step) {
            now += std::chrono::minutes(random() % 30);
            const auto bytes = encodeCommand(randomCommand(random, original));
            const auto command = decodeCommand(bytes);
            REQUIRE(command.has_value());
            // Guards against a field that the codec loses: the decoded command must encode to the same bytes.
            REQUIRE(encodeCommand(command.value()) == bytes);
            REQUIRE(encodeAnswer(original.apply(now, command.value()))
                    == encodeAnswer(restarted.apply(now, command.value())));
            if (random() % 20 == 0) {
                const auto snapshot = encodeSnapshot(original);
                REQUIRE(snapshot == encodeSnapshot(restarted));
                ConfigurationState restored;
                REQUIRE(decodeSnapshot(snapshot, restored).has_value());
                REQUIRE(encodeSnapshot(restored) == snapshot);
                REQUIRE(encodeDelta(fullDelta(restored.servingConfiguration()))
                        == encodeDelta(fullDelta(original.servingConfiguration())));
                restarted = std::move(restored);
            }
        }
    }
}

TEST_CASE(
    "a truncated or lengthened snapshot, or one of another format version, is refused and leaves the state unchanged")
{
    std::mt19937 random(3);
    ConfigurationState state;
    for (int step = 0; step < 200; ++step) {
        state.apply(LeaderTime(std::chrono::hours(1000)), randomCommand(random, state));
    }
    const auto snapshot = encodeSnapshot(state);
    ConfigurationState decodedState;
    for (std::size_t length = 0; length < snapshot.size(); length += 7) {
        REQUIRE(decodeSnapshot(std::string_view(snapshot).substr(0, length), decodedState).has_error());
    }
    CHECK(decodeSnapshot(snapshot + "x", decodedState).has_error());
    CHECK(decodeSnapshot("\x7f" + snapshot, decodedState).error().code == WireErrorCode::UnsupportedVersion);
    CHECK(decodedState.servingConfiguration().revision == Revision(0));
}

TEST_CASE("a large configuration is split into frames that together restore it")
{
    ServingConfiguration configuration;
    for (int i = 0; i < 20000; ++i) {
        configuration.adapters.put(AdapterRef("adapter-" + std::to_string(i), "1"),
                                   {.baseModel = BaseModel("b"), .service = ServiceName("s"), .current = i % 2 == 0});
    }
    configuration.revision = Revision(9);
    const auto parts = splitDelta(fullDelta(configuration), 100 * 1024);
    CHECK(parts.size() > 5);
    ServingConfiguration received;
    for (const auto &part : parts) {
        ConfigMessage message;
        message.delta = encodeDelta(part);
        const auto frame = encodeFrame(toMessage(message));
        REQUIRE(frame.has_value());
        CHECK(frame.value().size() < 120 * 1024);
        const auto decoded = decodeDelta(message.delta);
        REQUIRE(decoded.has_value());
        applyDelta(received, decoded.value());
    }
    CHECK(received.revision == Revision(9));
    CHECK(received.adapters.all().size() == 20000);
    CHECK(received.adapters.find(AdapterRef("adapter-2", "1"))->current);
}

TEST_CASE("an intent with an unknown or wrongly typed field is refused with an error that names the field")
{
    const auto detail = [](const char *body) {
        const auto intent = intentFromJson(nlohmann::json::parse(body));
        REQUIRE(intent.has_error());
        return intent.error().detail;
    };
    CHECK(detail(R"({"name":"i","prioritty":"high"})").find("prioritty") != std::string::npos);
    CHECK(detail(R"({"name":"i","priority":"urgent"})").find("urgent") != std::string::npos);
    CHECK(detail(R"({"name":"i","adapters":[{"nam":"x"}]})").find("nam") != std::string::npos);
    CHECK(detail(R"({"name":"i","adapters":[{"name":7}]})").find("name") != std::string::npos);
    CHECK(detail(R"({"name":"i","store":{"loads_per_second":-1}})").find("loads_per_second") != std::string::npos);
    CHECK(detail(R"([1])").find("object") != std::string::npos);
}
