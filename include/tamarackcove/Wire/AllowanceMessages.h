#pragma once

#include "tamarackcove/Wire/ArrayFields.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// The field of a report of an entry about the allowances of workspaces; see AllowanceReport. Encoded as an empty array
/// if the configuration has no allowances.
struct AllowanceReportMessage
{
    struct Use
    {
        std::string workspace;
        std::uint64_t requests = 0;
        double requestedUnits = 0;
        double usedUnits = 0;
        double returnedUnits = 0;
    };
    struct LeaseRequest
    {
        std::string workspace;
        std::uint64_t number = 0;
        double units = 0;
    };
    struct HeldShare
    {
        std::string workspace;
        double rate = 0;
        double burst = 0;
        double standaloneRate = 0;
        std::uint64_t holders = 0;
    };

    /// Whether the configuration of the entry has allowances.
    bool present = false;
    /// On the clock of the entry.
    std::int64_t madeAtMs = 0;
    std::uint64_t appliedNumber = 0;
    bool isFirst = false;
    std::int64_t withoutLeaderMs = 0;
    std::vector<HeldShare> held;
    std::vector<Use> uses;
    std::vector<LeaseRequest> leaseRequests;
};
inline void to_json(nlohmann::json &json, const AllowanceReportMessage::Use &use)
{
    json = toArray(use.workspace, use.requests, use.requestedUnits, use.usedUnits, use.returnedUnits);
}
inline void from_json(const nlohmann::json &json, AllowanceReportMessage::Use &use)
{
    fromArray(json, use.workspace, use.requests, use.requestedUnits, use.usedUnits, use.returnedUnits);
}
inline void to_json(nlohmann::json &json, const AllowanceReportMessage::LeaseRequest &request)
{
    json = toArray(request.workspace, request.number, request.units);
}
inline void from_json(const nlohmann::json &json, AllowanceReportMessage::LeaseRequest &request)
{
    fromArray(json, request.workspace, request.number, request.units);
}
inline void to_json(nlohmann::json &json, const AllowanceReportMessage::HeldShare &share)
{
    json = toArray(share.workspace, share.rate, share.burst, share.standaloneRate, share.holders);
}
inline void from_json(const nlohmann::json &json, AllowanceReportMessage::HeldShare &share)
{
    fromArray(json, share.workspace, share.rate, share.burst, share.standaloneRate, share.holders);
}
inline void to_json(nlohmann::json &json, const AllowanceReportMessage &message)
{
    json = !message.present ? nlohmann::json::array()
                            : toArray(message.madeAtMs, message.appliedNumber, message.isFirst, message.withoutLeaderMs,
                                      message.held, message.uses, message.leaseRequests);
}
inline void from_json(const nlohmann::json &json, AllowanceReportMessage &message)
{
    message.present = !json.empty();
    if (message.present) {
        fromArray(json, message.madeAtMs, message.appliedNumber, message.isFirst, message.withoutLeaderMs, message.held,
                  message.uses, message.leaseRequests);
    }
}

/// The answer of the leader to the reports of one entry about allowances. Shares differ from entry to entry, so that it
/// is not part of the updates, which are encoded once for all entries. Sent with a status, and only if the
/// configuration has allowances.
struct AllowanceAnswerMessage
{
    static constexpr std::string_view Type = "allowance_answer";
    struct Share
    {
        std::string workspace;
        double rate = 0;
        double burst = 0;
        double standaloneRate = 0;
        double standaloneBurst = 0;
        double fallbackRate = 0;
        double overdraft = 0;
        bool mayOverdraw = false;
        std::uint64_t holders = 0;
        double admittedPart = 1;
    };

    std::uint64_t number = 0;
    /// AllowanceReportMessage::madeAtMs of the latest report of the entry.
    std::int64_t reportMadeAtMs = 0;
    /// The shares that have changed. All shares that the entry has are renewed.
    std::vector<Share> shares;
    /// The numbers of the one-time leases that are granted, and of those that are refused.
    std::vector<std::uint64_t> granted;
    std::vector<std::uint64_t> refused;
};
inline void to_json(nlohmann::json &json, const AllowanceAnswerMessage::Share &share)
{
    json = toArray(share.workspace, share.rate, share.burst, share.standaloneRate, share.standaloneBurst,
                   share.fallbackRate, share.overdraft, share.mayOverdraw, share.holders, share.admittedPart);
}
inline void from_json(const nlohmann::json &json, AllowanceAnswerMessage::Share &share)
{
    fromArray(json, share.workspace, share.rate, share.burst, share.standaloneRate, share.standaloneBurst,
              share.fallbackRate, share.overdraft, share.mayOverdraw, share.holders, share.admittedPart);
}
inline void to_json(nlohmann::json &json, const AllowanceAnswerMessage &message)
{
    json = toArray(message.number, message.reportMadeAtMs, message.shares, message.granted, message.refused);
}
inline void from_json(const nlohmann::json &json, AllowanceAnswerMessage &message)
{
    fromArray(json, message.number, message.reportMadeAtMs, message.shares, message.granted, message.refused);
}

} // namespace tamarackcove
