#include "tamarackcove/Entry/Targets/AnnouncementRelay.h"

#include <doctest/doctest.h>

using namespace tamarackcove;

static const TimePoint Start = TimePoint(seconds(1000));
static const AdapterRef Rules("rules", "1");

TEST_CASE("an announcement is forwarded to the coordinator only when more than its load differs from the view")
{
    AnnouncementRelay relay;
    Announcement announcement;
    announcement.id = TargetId("t1");
    announcement.incarnation = Incarnation(1);
    announcement.running = 3;
    CHECK(relay.recordAnnouncement(announcement, nullptr, Start));
    TargetView viewed;
    viewed.id = announcement.id;
    viewed.incarnation = Incarnation(1);
    CHECK_FALSE(relay.recordAnnouncement(announcement, &viewed, Start));
    announcement.adapters = {Rules};
    CHECK(relay.recordAnnouncement(announcement, &viewed, Start));
    viewed.adapters[Rules] = ResidencyState::Resident;
    CHECK_FALSE(relay.recordAnnouncement(announcement, &viewed, Start));
    announcement.adapters.emplace();
    CHECK(relay.recordAnnouncement(announcement, &viewed, Start));
    announcement.adapters.reset();
    announcement.leaving = true;
    CHECK(relay.recordAnnouncement(announcement, &viewed, Start));
    viewed.health = TargetHealth::Leaving;
    CHECK_FALSE(relay.recordAnnouncement(announcement, &viewed, Start));
    announcement.incarnation = Incarnation(2);
    CHECK(relay.recordAnnouncement(announcement, &viewed, Start));
}

TEST_CASE("load figures are sent once to each peer, and only for targets that have an index")
{
    AnnouncementRelay relay;
    Announcement announcement;
    announcement.id = TargetId("t1");
    announcement.running = 3;
    announcement.waiting = 1;
    (void)relay.recordAnnouncement(announcement, nullptr, Start);
    const auto indexed = [](const TargetId &) {
        return std::optional<std::uint32_t>(7);
    };
    const auto unknown = [](const TargetId &) {
        return std::optional<std::uint32_t>();
    };
    CHECK(relay.loadFiguresAfter(0, unknown).triples.empty());
    const auto loads = relay.loadFiguresAfter(0, indexed);
    CHECK(loads.triples == std::vector<std::uint32_t>{7, 3, 1});
    CHECK(relay.loadFiguresAfter(loads.lastAnnouncement, indexed).triples.empty());
}
