#include "tamarackcove/Entry/Peers/PeerMessages.h"

namespace tamarackcove {

void to_json(nlohmann::json &json, const HeartbeatMessage &message)
{
    json = {message.sequence, message.echo, message.number, message.renewsView, message.heldRevision};
    if (!message.silent.empty() || !message.loads.empty()) {
        json.push_back(message.silent);
        json.push_back(message.loads);
    }
}

void from_json(const nlohmann::json &json, HeartbeatMessage &message)
{
    json.at(0).get_to(message.sequence);
    json.at(1).get_to(message.echo);
    json.at(2).get_to(message.number);
    json.at(3).get_to(message.renewsView);
    json.at(4).get_to(message.heldRevision);
    if (json.size() > 5) {
        json.at(5).get_to(message.silent);
        json.at(6).get_to(message.loads);
    }
}

void to_json(nlohmann::json &json, const VoteMessage &message)
{
    json = {message.round, message.session, message.number, message.leaseMs, message.release, message.leaseNeverHeld};
}

void from_json(const nlohmann::json &json, VoteMessage &message)
{
    json.at(0).get_to(message.round);
    json.at(1).get_to(message.session);
    json.at(2).get_to(message.number);
    json.at(3).get_to(message.leaseMs);
    json.at(4).get_to(message.release);
    json.at(5).get_to(message.leaseNeverHeld);
}

void to_json(nlohmann::json &json, const VoteReplyMessage &message)
{
    json = {message.round, message.granted, message.highest};
    if (message.complete || !message.released.empty()) {
        json.push_back(message.complete);
        json.push_back(message.released);
    }
}

void from_json(const nlohmann::json &json, VoteReplyMessage &message)
{
    json.at(0).get_to(message.round);
    json.at(1).get_to(message.granted);
    json.at(2).get_to(message.highest);
    if (json.size() > 3) {
        json.at(3).get_to(message.complete);
        json.at(4).get_to(message.released);
    }
}

bool ViewMessage::empty() const
{
    return !full && targets.empty() && gone.empty() && health.empty() && residency.empty() && remote.empty()
        && zones.empty();
}

template<typename List>
static void putUnlessEmpty(nlohmann::json &json, const char *key, const List &list)
{
    if (!list.empty()) {
        json[key] = list;
    }
}

template<typename List>
static void getIfPresent(const nlohmann::json &json, const char *key, List &list)
{
    const auto found = json.find(key);
    if (found != json.end()) {
        found->get_to(list);
    }
}

void to_json(nlohmann::json &json, const ViewMessage &message)
{
    json = nlohmann::json::object();
    json["number"] = message.number;
    if (message.full) {
        json["full"] = true;
    }
    putUnlessEmpty(json, "targets", message.targets);
    putUnlessEmpty(json, "gone", message.gone);
    putUnlessEmpty(json, "health", message.health);
    putUnlessEmpty(json, "residency", message.residency);
    putUnlessEmpty(json, "remote", message.remote);
    putUnlessEmpty(json, "zones", message.zones);
}

void from_json(const nlohmann::json &json, ViewMessage &message)
{
    json.at("number").get_to(message.number);
    message.full = json.value("full", false);
    getIfPresent(json, "targets", message.targets);
    getIfPresent(json, "gone", message.gone);
    getIfPresent(json, "health", message.health);
    getIfPresent(json, "residency", message.residency);
    getIfPresent(json, "remote", message.remote);
    getIfPresent(json, "zones", message.zones);
}

} // namespace tamarackcove
