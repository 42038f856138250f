#include "tamarackcove/Targets/TargetRegistry.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const TargetId Engine("t1");
static const AdapterRef Rules("rules", "1");

static Announcement makeAnnouncement(std::uint64_t incarnation = 1)
{
    Announcement message;
    message.id = Engine;
    message.incarnation = Incarnation(incarnation);
    message.zone = Zone("a");
    message.endpoint = {.host = "127.0.0.1", .port = 9000};
    message.baseModel = BaseModel("base");
    message.adapterSlots = 2;
    message.maxBatch = 8;
    return message;
}

TEST_CASE(
    "a target without announcements becomes suspect, serves again after the next one, and is removed after goneAfter")
{
    TargetRegistry registry({});
    CHECK(registry.announce(makeAnnouncement(), Start) == TargetRegistry::Outcome::Joined);
    registry.tick(Start + milliseconds(3001));
    CHECK(registry.view(Engine).health == TargetHealth::Suspect);
    registry.recordLoad(Engine, 1, 0, Start + seconds(4));
    CHECK(registry.view(Engine).health == TargetHealth::Serving);
    registry.tick(Start + milliseconds(14001));
    CHECK_FALSE(registry.contains(Engine));
    CHECK(registry.takeChanges().gone.contains(Engine));
}

TEST_CASE("a leaving target stays leaving despite a late announcement until it restarts")
{
    TargetRegistry registry({});
    auto leaving = makeAnnouncement();
    leaving.leaving = true;
    registry.announce(leaving, Start);
    CHECK(registry.view(Engine).health == TargetHealth::Leaving);
    // This announcement was sent before the target was leaving, and another entry forwards it late.
    registry.announce(makeAnnouncement(), Start + seconds(1));
    CHECK(registry.view(Engine).health == TargetHealth::Leaving);
    CHECK(registry.announce(makeAnnouncement(2), Start + seconds(2)) == TargetRegistry::Outcome::Restarted);
    CHECK(registry.view(Engine).health == TargetHealth::Serving);
}

TEST_CASE(
    "a restart clears the residency of the target, and later announcements of the previous incarnation are ignored")
{
    TargetRegistry registry({});
    registry.announce(makeAnnouncement(), Start);
    registry.reconcileResidency(Engine, {Rules}, Start, Start);
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Resident);
    registry.announce(makeAnnouncement(2), Start + seconds(1));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Absent);
    CHECK(registry.announce(makeAnnouncement(1), Start + seconds(2)) == TargetRegistry::Outcome::Outdated);
    CHECK(registry.view(Engine).incarnation == Incarnation(2));
}

TEST_CASE("an announcement that contradicts the residency requests a state read and leaves the residency unchanged")
{
    TargetRegistry registry({});
    registry.announce(makeAnnouncement(), Start);
    registry.reconcileResidency(Engine, {Rules}, Start, Start);
    auto emptyList = makeAnnouncement();
    emptyList.adapters.emplace();
    registry.announce(emptyList, Start + seconds(1));
    CHECK(registry.takeResidencyMismatches().empty());
    registry.announce(emptyList, Start + seconds(4));
    CHECK(registry.takeResidencyMismatches().contains(Engine));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Resident);
    // An announcement without a list does not contradict the residency.
    TargetRegistry other({});
    other.announce(makeAnnouncement(), Start);
    other.reconcileResidency(Engine, {Rules}, Start, Start);
    other.announce(makeAnnouncement(), Start + seconds(4));
    CHECK(other.takeResidencyMismatches().empty());
}

TEST_CASE("an engine state that was requested before an order ended does not change the result of the order")
{
    TargetRegistry registry({});
    registry.announce(makeAnnouncement(), Start);
    registry.apply(Engine, Rules, ResidencyEvent::LoadOrdered, Start);
    registry.reconcileResidency(Engine, {}, Start, Start + milliseconds(10));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Loading);
    registry.apply(Engine, Rules, ResidencyEvent::Loaded, Start + milliseconds(20));
    registry.reconcileResidency(Engine, {}, Start + milliseconds(15), Start + milliseconds(30));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Resident);
    registry.reconcileResidency(Engine, {}, Start + milliseconds(40), Start + milliseconds(50));
    CHECK(registry.stage(Engine, Rules) == ResidencyStage::Absent);
}

TEST_CASE("the back-off grows with each consecutive load failure")
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
        CHECK(residency.apply(ResidencyEvent::BackOffExpired, now));
    }
}

TEST_CASE("late and duplicate replies do not change the stage")
{
    AdapterResidency residency;
    CHECK_FALSE(residency.apply(ResidencyEvent::Loaded, Start));
    CHECK_FALSE(residency.apply(ResidencyEvent::Unloaded, Start));
    residency.apply(ResidencyEvent::ReportedResident, Start);
    CHECK(residency.apply(ResidencyEvent::RetireStarted, Start));
    CHECK_FALSE(residency.apply(ResidencyEvent::ReportedAbsent, Start));
    CHECK_FALSE(residency.apply(ResidencyEvent::RetireStarted, Start));
    CHECK(residency.apply(ResidencyEvent::RetireAborted, Start));
    CHECK(residency.stage() == ResidencyStage::Resident);
}

TEST_CASE("an invalid announcement is refused with an error that names the invalid field")
{
    const auto reason = [](const Announcement &message) {
        const auto valid = validate(message, Zone("a"));
        return valid.has_error() ? valid.error() : std::string();
    };
    CHECK(reason(makeAnnouncement()).empty());
    auto message = makeAnnouncement();
    message.zone = Zone("b");
    CHECK(reason(message).find("entry of zone b") != std::string::npos);
    message = makeAnnouncement();
    message.incarnation = Incarnation();
    CHECK(reason(message).find("incarnation") != std::string::npos);
    message = makeAnnouncement();
    message.endpoint.host = "engine.example";
    CHECK(reason(message).find("host") != std::string::npos);
    message = makeAnnouncement();
    message.adapterSlots = 0;
    CHECK(reason(message).find("adapter_slots") != std::string::npos);
    message = makeAnnouncement();
    message.adapters = {AdapterRef("a", "1"), AdapterRef("b", "1"), AdapterRef("c", "1")};
    CHECK(reason(message).find("adapters holds 3") != std::string::npos);
    message = makeAnnouncement();
    message.kind = TargetKind::Service;
    CHECK(reason(message).find("service") != std::string::npos);
    message = makeAnnouncement();
    message.running = -1;
    CHECK(reason(message).find("running") != std::string::npos);
}
