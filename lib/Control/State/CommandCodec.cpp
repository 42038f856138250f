#include "tamarackcove/Control/State/CommandCodec.h"

#include "tamarackcove/Control/State/IntentJson.h"

namespace tamarackcove {

using nlohmann::json;

static std::string toBytes(const json &body)
{
    std::string bytes;
    json::to_msgpack(body, bytes);
    return bytes;
}

static json fromBytes(std::string_view bytes)
{
    return json::from_msgpack(bytes.begin(), bytes.end());
}

static json commandToJson(const CreateIntent &command)
{
    return {{"c", "create_intent"},
            {"id", command.id.value()},
            {"digest", command.digest},
            {"intent", intentToJson(*command.intent)}};
}

static json commandToJson(const ConfirmPlan &command)
{
    return {{"c", "confirm_plan"},
            {"id", command.id.value()},
            {"digest", command.digest},
            {"plan", command.plan.value()},
            {"base", command.base.value()}};
}

static json commandToJson(const ReserveCall &command)
{
    return {{"c", "reserve_call"},
            {"key", command.key},
            {"digest", command.digest},
            {"entry", command.entry.value()},
            {"attempt", command.attempt.value()}};
}

static json commandToJson(const CompleteCall &command)
{
    return {{"c", "complete_call"},
            {"key", command.key},
            {"entry", command.entry.value()},
            {"status", command.status},
            {"content_type", command.contentType},
            {"body", command.body}};
}

static json commandToJson(const ReleaseCall &command)
{
    return {{"c", "release_call"}, {"key", command.key}, {"entry", command.entry.value()}};
}

static json commandToJson(const ReportCrash &command)
{
    return {{"c", "report_crash"},
            {"target", command.target.value()},
            {"incarnation", command.incarnation.value()},
            {"fingerprints", command.fingerprints}};
}

static json commandToJson(const ClearSuspect &command)
{
    return {{"c", "report_cleared"}, {"fingerprint", command.fingerprint}};
}

static json commandToJson(const RecordVote &command)
{
    return {{"c", "record_vote"},
            {"zone", command.zone.value()},
            {"candidate", command.candidate.value()},
            {"number", command.number.value()}};
}

std::string encodeCommand(const Command &command)
{
    return toBytes(std::visit([](const auto &one) { return commandToJson(one); }, command));
}

static std::string text(const json &body, const char *key)
{
    return body.at(key).get<std::string>();
}

static std::uint64_t number(const json &body, const char *key)
{
    return body.at(key).get<std::uint64_t>();
}

static Result<Command, WireError> commandFromJson(const json &body)
{
    const auto kind = text(body, "c");
    if (kind == "create_intent") {
        auto intent = intentFromJson(body.at("intent"));
        if (intent.has_error()) {
            return WireError{WireErrorCode::BadFrame, intent.error().detail};
        }
        return Command(CreateIntent{.id = CommandId(text(body, "id")),
                                    .intent = std::make_shared<const Intent>(std::move(intent).value()),
                                    .digest = number(body, "digest")});
    }
    if (kind == "confirm_plan") {
        return Command(ConfirmPlan{.id = CommandId(text(body, "id")),
                                   .plan = PlanId(text(body, "plan")),
                                   .base = Revision(number(body, "base")),
                                   .digest = number(body, "digest")});
    }
    if (kind == "reserve_call") {
        return Command(ReserveCall{.key = text(body, "key"),
                                   .digest = number(body, "digest"),
                                   .entry = EntryId(text(body, "entry")),
                                   .attempt = RequestId(text(body, "attempt"))});
    }
    if (kind == "complete_call") {
        return Command(CompleteCall{.key = text(body, "key"),
                                    .entry = EntryId(text(body, "entry")),
                                    .status = body.at("status").get<int>(),
                                    .contentType = text(body, "content_type"),
                                    .body = text(body, "body")});
    }
    if (kind == "release_call") {
        return Command(ReleaseCall{.key = text(body, "key"), .entry = EntryId(text(body, "entry"))});
    }
    if (kind == "report_crash") {
        return Command(ReportCrash{.target = TargetId(text(body, "target")),
                                   .incarnation = Incarnation(number(body, "incarnation")),
                                   .fingerprints = body.at("fingerprints").get<std::vector<std::uint64_t>>()});
    }
    if (kind == "report_cleared") {
        return Command(ClearSuspect{.fingerprint = number(body, "fingerprint")});
    }
    if (kind == "record_vote") {
        return Command(RecordVote{.zone = Zone(text(body, "zone")),
                                  .candidate = EntryId(text(body, "candidate")),
                                  .number = FencingNumber(number(body, "number"))});
    }
    return WireError{WireErrorCode::UnexpectedMessage, "unknown command " + kind};
}

Result<Command, WireError> decodeCommand(std::string_view bytes)
{
    try {
        return commandFromJson(fromBytes(bytes));
    } catch (const json::exception &error) {
        return WireError{WireErrorCode::BadFrame, error.what()};
    }
}

static json operatorAnswerToJson(const PlanAnswer &answer)
{
    return {{"s", 200}, {"b", planToJson(*answer.plan)}};
}

static json operatorAnswerToJson(const ConfirmedAnswer &answer)
{
    return {{"s", 200}, {"b", {{"plan", answer.plan.value()}, {"revision", answer.revision.value()}}}};
}

static std::pair<int, const char *> statusAndCode(ConfigurationErrorCode code)
{
    switch (code) {
    case ConfigurationErrorCode::InvalidIntent:
        return {400, "invalid_intent"};
    case ConfigurationErrorCode::AdapterOwned:
        return {409, "adapter_owned"};
    case ConfigurationErrorCode::UnknownPlan:
        return {404, "unknown_plan"};
    case ConfigurationErrorCode::Conflict:
        return {409, "conflict"};
    case ConfigurationErrorCode::CommandReused:
        return {409, "command_id_reused"};
    }
    return {500, "internal"};
}

static json operatorAnswerToJson(const RefusedAnswer &answer)
{
    const auto [status, code] = statusAndCode(answer.error.code);
    return {{"s", status},
            {"b",
             {{"error", {{"code", code}, {"message", answer.error.detail}}},
              {"in_effect",
               {{"revision", answer.inForce.value()}, {"last_confirmed_plan", answer.lastConfirmedPlan.value()}}}}}};
}

static json answerToJson(const OperatorAnswer &answer)
{
    return std::visit([](const auto &one) { return operatorAnswerToJson(one); }, answer);
}

static json answerToJson(const ReservationAnswer &answer)
{
    return {static_cast<int>(answer.decision), answer.status, answer.contentType, answer.body};
}

static json answerToJson(const AppliedAnswer &answer)
{
    return answer.hadEffect;
}

std::string encodeAnswer(const CommandAnswer &answer)
{
    return toBytes(std::visit([](const auto &one) { return answerToJson(one); }, answer));
}

json decodeOperatorAnswer(std::string_view bytes, int &httpStatus)
{
    auto body = fromBytes(bytes);
    httpStatus = body.at("s").get<int>();
    return std::move(body.at("b"));
}

ReservationAnswer decodeReservationAnswer(std::string_view bytes)
{
    const auto body = fromBytes(bytes);
    return {.decision = static_cast<CallDecision>(body.at(0).get<int>()),
            .status = body.at(1).get<int>(),
            .contentType = body.at(2).get<std::string>(),
            .body = body.at(3).get<std::string>()};
}

bool decodeAppliedAnswer(std::string_view bytes)
{
    return fromBytes(bytes).get<bool>();
}

} // namespace tamarackcove
