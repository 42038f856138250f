#include "tamarackcove/Control/Replica/ReplicaCodec.h"

#include "tamarackcove/Storage/EntryCodec.h"

#include <type_traits>

namespace tamarackcove {

using nlohmann::json;

static std::string encodeEntries(const std::vector<LogEntryPtr> &entries)
{
    std::string bytes;
    ByteWriter writer(bytes);
    for (const auto &entry : entries) {
        encodeEntry(writer, *entry);
    }
    return bytes;
}

static std::optional<std::vector<LogEntryPtr>> decodeEntries(std::string_view bytes)
{
    std::vector<LogEntryPtr> entries;
    ByteReader reader(bytes);
    while (!reader.atEnd()) {
        auto entry = decodeEntry(reader);
        if (!entry || (!entries.empty() && entries.back()->index + 1 != entry->index)) {
            return std::nullopt;
        }
        entries.push_back(std::make_shared<const LogEntry>(std::move(*entry)));
    }
    return reader.failed() ? std::nullopt : std::optional(std::move(entries));
}

static Message encodeBody(const VoteRequest &vote)
{
    return {.type = "vote",
            .body = {{"pre", vote.preVote},
                     {"transfer", vote.transfer},
                     {"last_index", vote.lastIndex},
                     {"last_term", vote.lastTerm}}};
}

static Message encodeBody(const VoteReply &reply)
{
    return {.type = "vote_reply",
            .body = {{"pre", reply.preVote}, {"granted", reply.granted}, {"request_term", reply.requestTerm}}};
}

static Message encodeBody(const AppendRequest &append)
{
    Message message{.type = "append",
                    .body = {{"prev_index", append.previousIndex},
                             {"prev_term", append.previousTerm},
                             {"commit", append.commitIndex},
                             {"sent_at", encodeTime(append.sentAt)},
                             {"losses", append.lossesTolerated}}};
    if (!append.entries.empty()) {
        message.body["entries"] = encodeEntries(append.entries);
    }
    return message;
}

static Message encodeBody(const AppendReply &reply)
{
    return {.type = "append_reply",
            .body = {{"ok", reply.accepted}, {"matched", reply.matchedIndex}, {"sent_at", encodeTime(reply.sentAt)}}};
}

static Message encodeBody(const SnapshotChunk &chunk)
{
    std::string group;
    ByteWriter writer(group);
    encodeGroup(writer, chunk.group);
    return {.type = "snapshot",
            .body = {{"last_index", chunk.lastIndex},
                     {"last_term", chunk.lastTerm},
                     {"last_time", encodeTime(chunk.lastTime)},
                     {"members", group},
                     {"offset", chunk.offset},
                     {"total", chunk.totalBytes},
                     {"bytes", chunk.bytes},
                     {"sent_at", encodeTime(chunk.sentAt)}}};
}

static Message encodeBody(const SnapshotReply &reply)
{
    return {
        .type = "snapshot_reply",
        .body
        = {{"last_index", reply.lastIndex}, {"received", reply.receivedBytes}, {"sent_at", encodeTime(reply.sentAt)}}};
}

static Message encodeBody(const TimeoutNow &)
{
    return {.type = "timeout_now", .body = json::object()};
}

Message encodeReplicaMessage(const ReplicaMessage &message)
{
    auto encoded = std::visit([](const auto &body) { return encodeBody(body); }, message.body);
    encoded.body["term"] = message.term;
    if (!message.groupId.empty()) {
        encoded.body["group"] = message.groupId;
    }
    return encoded;
}

static AppendRequest decodeAppend(const json &body)
{
    AppendRequest append{.previousIndex = body.at("prev_index").get<LogIndex>(),
                         .previousTerm = body.at("prev_term").get<Term>(),
                         .commitIndex = body.at("commit").get<LogIndex>(),
                         .sentAt = decodeTime<TimePoint>(body.at("sent_at").get<std::uint64_t>()),
                         .lossesTolerated = body.at("losses").get<int>()};
    if (const auto found = body.find("entries"); found != body.end()) {
        auto entries = decodeEntries(found->get_ref<const std::string &>());
        if (!entries || entries->empty() || entries->front()->index != append.previousIndex + 1) {
            throw std::invalid_argument("the entries cannot be decoded or do not follow prev_index");
        }
        append.entries = std::move(*entries);
    }
    return append;
}

static SnapshotChunk decodeChunk(const json &body)
{
    ByteReader reader(body.at("members").get_ref<const std::string &>());
    auto group = decodeGroup(reader);
    if (!group) {
        throw std::invalid_argument("the members cannot be decoded");
    }
    return {.lastIndex = body.at("last_index").get<LogIndex>(),
            .lastTerm = body.at("last_term").get<Term>(),
            .lastTime = decodeTime<std::chrono::system_clock::time_point>(body.at("last_time").get<std::uint64_t>()),
            .group = std::move(*group),
            .offset = body.at("offset").get<std::uint64_t>(),
            .totalBytes = body.at("total").get<std::uint64_t>(),
            .bytes = body.at("bytes").get<std::string>(),
            .sentAt = decodeTime<TimePoint>(body.at("sent_at").get<std::uint64_t>())};
}

static ReplicaMessage decodeByType(const std::string &type, const json &body)
{
    ReplicaMessage message;
    message.term = body.at("term").get<Term>();
    message.groupId = body.value("group", std::string());
    if (type == "append") {
        message.body = decodeAppend(body);
    } else if (type == "append_reply") {
        message.body = AppendReply{.accepted = body.at("ok").get<bool>(),
                                   .matchedIndex = body.at("matched").get<LogIndex>(),
                                   .sentAt = decodeTime<TimePoint>(body.at("sent_at").get<std::uint64_t>())};
    } else if (type == "vote") {
        message.body = VoteRequest{.preVote = body.at("pre").get<bool>(),
                                   .transfer = body.at("transfer").get<bool>(),
                                   .lastIndex = body.at("last_index").get<LogIndex>(),
                                   .lastTerm = body.at("last_term").get<Term>()};
    } else if (type == "vote_reply") {
        message.body = VoteReply{.preVote = body.at("pre").get<bool>(),
                                 .granted = body.at("granted").get<bool>(),
                                 .requestTerm = body.at("request_term").get<Term>()};
    } else if (type == "snapshot") {
        message.body = decodeChunk(body);
    } else if (type == "snapshot_reply") {
        message.body = SnapshotReply{.lastIndex = body.at("last_index").get<LogIndex>(),
                                     .receivedBytes = body.at("received").get<std::uint64_t>(),
                                     .sentAt = decodeTime<TimePoint>(body.at("sent_at").get<std::uint64_t>())};
    } else if (type == "timeout_now") {
        message.body = TimeoutNow{};
    } else {
        throw std::invalid_argument("unknown message type");
    }
    return message;
}

Result<ReplicaMessage, WireError> decodeReplicaMessage(const Message &message)
{
    try {
        return decodeByType(message.type, message.body);
    } catch (const std::exception &error) {
        return WireError{WireErrorCode::BadFrame, message.type + ": " + error.what()};
    }
}

} // namespace tamarackcove
