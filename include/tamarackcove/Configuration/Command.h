#pragma once

#include "tamarackcove/Base/Ids.h"
#include "tamarackcove/Configuration/CallLedger.h"
#include "tamarackcove/Configuration/ConfigurationError.h"
#include "tamarackcove/Configuration/Intent.h"
#include "tamarackcove/Configuration/Plan.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace tamarackcove {

struct CreateIntent
{
    CommandId id;
    /// Precondition: normalised.
    std::shared_ptr<const Intent> intent;
    /// A hash of the command, to distinguish a resent command from another command with the same id.
    std::uint64_t digest = 0;
};

struct ConfirmPlan
{
    CommandId id;
    PlanId plan;
    /// The revision that the operator expects the plan to be computed against.
    Revision base;
    /// See CreateIntent::digest.
    std::uint64_t digest = 0;
};

/// See CallLedger::reserve().
struct ReserveCall
{
    std::string key;
    std::uint64_t digest = 0;
    EntryId entry;
    RequestId attempt;
};

/// See CallLedger::complete().
struct CompleteCall
{
    std::string key;
    EntryId entry;
    int status = 0;
    std::string contentType;
    std::string body;
};

/// See CallLedger::release().
struct ReleaseCall
{
    std::string key;
    EntryId entry;
};

/// Reports that one run of a target crashed while requests with these fingerprints were in flight on it.
struct ReportCrash
{
    TargetId target;
    Incarnation incarnation;
    std::vector<std::uint64_t> fingerprints;
};

/// Reports that a request suspected of crashing targets completed, so that it is no longer a suspect.
struct ClearSuspect
{
    std::uint64_t fingerprint = 0;
};

/// Records the control group's vote for a zone coordinator, so that a later leader neither votes for a lower fencing
/// number nor for another candidate with the same number.
struct RecordVote
{
    Zone zone;
    EntryId candidate;
    FencingNumber number;
};

using Command = std::variant<CreateIntent, ConfirmPlan, ReserveCall, CompleteCall, ReleaseCall, ReportCrash,
                             ClearSuspect, RecordVote>;

struct PlanAnswer
{
    std::shared_ptr<const Plan> plan;
};

struct ConfirmedAnswer
{
    PlanId plan;
    Revision revision;
};

/// The refusal of a command, with the configuration state at the time of the refusal.
struct RefusedAnswer
{
    ConfigurationError error;
    /// The newest revision of the serving configuration.
    Revision inForce;
    PlanId lastConfirmedPlan;
};

/// Whether the command had an effect.
struct AppliedAnswer
{
    bool hadEffect = true;
};

using OperatorAnswer = std::variant<PlanAnswer, ConfirmedAnswer, RefusedAnswer>;
using CommandAnswer = std::variant<OperatorAnswer, ReservationAnswer, AppliedAnswer>;

} // namespace tamarackcove
