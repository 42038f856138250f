#include "tamarackcove/Targets/TargetRegistry.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const TargetId Engine("t1");
static const AdapterRef Rules("rules", "1");

static Announcement announcement(std::uint64_t incarnation = 1)
{
    Announcement made;
    made.id = Engine;
    made.incarnation = Incarnation(incarnation);
    made.zone = Zone("a");
    made.endpoint = {.host = "127.0.0.1", .port = 9000};
    made.baseModel = BaseModel("base");
    made.adapterSlots = 2;
    made.maxBatch = 8;
    return made;
}

TEST_CASE("a silent target becomes suspect, serves again when it is heard, and is gone after a longer silence")
{
    TargetRegistry registry({});
    CHECK(registry.announce(announcement(), Start) == TargetRegistry::Outcome::Joined);
    registry.tick(Start + milliseconds(3001));
    CHECK(registry.view(Engine).health == TargetHealth::Suspect);
    registry.refresh(Engine, 1, 0, Start + seconds(4));
    CHECK(registry.view(Engine).health == TargetHealth::Serving);
    registry.tick(Start + milliseconds(14001));
    CHECK_FALSE(registry.contains(Engine));
    CHECK(registry.takeChanges().gone.contains(Engine));
}

TEST_CASE("a leaving target gets no new work until it restarts")
{
    TargetRegistry registry({});
    auto leaving = announcement();
    leaving.leaving = true;
    registry.announce(leaving, Start);
    CHECK(registry.view(Engine).health == TargetHealth::Leaving);
    // An announcement that another entry forwarded late.
    registry.announce(announcement(), Start + seconds(1));
    CHECK(registry.view(Engine).health == TargetHealth::Leaving);
    CHECK(registry.announce(announcement(2), Start + seconds(2)) == TargetRegistry::Outcome::Restarted);
    CHECK(registry.view(Engine).health == TargetHealth::Serving);
}

TEST_CASE("a restart forgets what the target held, and the old process cannot come back")
{
    TargetRegistry registry({});
    registry.announce(announcement(), Start);
    registry.setHeld(Engine, {Rules}, Start, Start);
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Resident);
    registry.announce(announcement(2), Start + seconds(1));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Absent);
    CHECK(registry.announce(announcement(1), Start + seconds(2)) == TargetRegistry::Outcome::Outdated);
    CHECK(registry.view(Engine).incarnation == Incarnation(2));
}

TEST_CASE("announcements that contradict residency ask for the state, and change nothing themselves")
{
    TargetRegistry registry({});
    registry.announce(announcement(), Start);
    registry.setHeld(Engine, {Rules}, Start, Start);
    auto without = announcement();
    without.adapters.emplace();
    registry.announce(without, Start + seconds(1));
    CHECK(registry.takeContradicted().empty());
    registry.announce(without, Start + seconds(4));
    CHECK(registry.takeContradicted().contains(Engine));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Resident);
    // A list that was left out says nothing.
    TargetRegistry other({});
    other.announce(announcement(), Start);
    other.setHeld(Engine, {Rules}, Start, Start);
    other.announce(announcement(), Start + seconds(4));
    CHECK(other.takeContradicted().empty());
}

TEST_CASE("a state that was asked for before an order ended does not undo it")
{
    TargetRegistry registry({});
    registry.announce(announcement(), Start);
    registry.apply(Engine, Rules, ResidencyEvent::LoadOrdered, Start);
    registry.setHeld(Engine, {}, Start, Start + milliseconds(10));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Loading);
    registry.apply(Engine, Rules, ResidencyEvent::Loaded, Start + milliseconds(20));
    registry.setHeld(Engine, {}, Start + milliseconds(15), Start + milliseconds(30));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Resident);
    registry.setHeld(Engine, {}, Start + milliseconds(40), Start + milliseconds(50));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Absent);
}

TEST_CASE("loads that fail wait longer each time, for this adapter and target only")
{
    AdapterResidency residency;
    auto now = Start;
    auto lastWait = Duration(0);
    for (int i = 0; i < 4; ++i) {
        CHECK(residency.apply(ResidencyEvent::LoadOrdered, now));
        CHECK(residency.apply(ResidencyEvent::LoadFailed, now));
        CHECK(residency.stage() == ResidencyStage::BackOff);
        CHECK_FALSE(residency.apply(ResidencyEvent::LoadOrdered, now));
        const auto wait = residency.retryAt() - now;
        CHECK(wait > lastWait);
        lastWait = wait;
        now = residency.retryAt();
        CHECK(residency.apply(ResidencyEvent::BackOffOver, now));
    }
}

TEST_CASE("replies that come late or twice change nothing")
{
    AdapterResidency residency;
    CHECK_FALSE(residency.apply(ResidencyEvent::Loaded, Start));
    CHECK_FALSE(residency.apply(ResidencyEvent::Unloaded, Start));
    residency.apply(ResidencyEvent::SeenResident, Start);
    CHECK(residency.apply(ResidencyEvent::RetireStarted, Start));
    CHECK_FALSE(residency.apply(ResidencyEvent::SeenAbsent, Start));
    CHECK_FALSE(residency.apply(ResidencyEvent::RetireStarted, Start));
    CHECK(residency.apply(ResidencyEvent::RetireRefused, Start));
    CHECK(residency.stage() == ResidencyStage::Resident);
}

TEST_CASE("announcements that make no sense are refused with what to change")
{
    const auto reason = [](const Announcement &made) {
        const auto valid = validate(made, Zone("a"));
        return valid.has_error() ? valid.error() : std::string();
    };
    CHECK(reason(announcement()).empty());
    auto made = announcement();
    made.zone = Zone("b");
    CHECK(reason(made).find("entry of zone b") != std::string::npos);
    made = announcement();
    made.incarnation = Incarnation();
    CHECK(reason(made).find("incarnation") != std::string::npos);
    made = announcement();
    made.endpoint.host = "engine.example";
    CHECK(reason(made).find("host") != std::string::npos);
    made = announcement();
    made.adapterSlots = 0;
    CHECK(reason(made).find("adapter_slots") != std::string::npos);
    made = announcement();
    made.adapters = {AdapterRef("a", "1"), AdapterRef("b", "1"), AdapterRef("c", "1")};
    CHECK(reason(made).find("adapters holds 3") != std::string::npos);
    made = announcement();
    made.kind = TargetKind::Service;
    CHECK(reason(made).find("service") != std::string::npos);
    made = announcement();
    made.running = -1;
    CHECK(reason(made).find("running") != std::string::npos);
}
