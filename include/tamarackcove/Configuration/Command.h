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
    /// A hash of the command, to tell a resent command from another one under the same id.
    std::uint64_t digest = 0;
};

struct ConfirmPlan
{
    CommandId id;
    PlanId plan;
    Revision base;
    std::uint64_t digest = 0;
};

struct ReserveCall
{
    std::string key;
    std::uint64_t digest = 0;
    EntryId entry;
    RequestId attempt;
};

struct CompleteCall
{
    std::string key;
    EntryId entry;
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ReleaseCall
{
    std::string key;
    EntryId entry;
};

struct ReportCrash
{
    TargetId target;
    Incarnation incarnation;
    std::vector<std::uint64_t> fingerprints;
};

struct ReportCleared
{
    std::uint64_t fingerprint = 0;
};

/// Records the control group's vote for a zone coordinator, so that a later leader votes for no lower number and for no
/// other candidate under the same one.
struct RecordVote
{
    Zone zone;
    EntryId candidate;
    FencingNumber number;
};

using Command = std::variant<CreateIntent, ConfirmPlan, ReserveCall, CompleteCall, ReleaseCall, ReportCrash,
                             ReportCleared, RecordVote>;

struct PlanAnswer
{
    std::shared_ptr<const Plan> plan;
};

struct ConfirmedAnswer
{
    PlanId plan;
    Revision revision;
};

/// A refusal, with what was in effect at that moment.
struct RefusedAnswer
{
    ConfigurationError error;
    Revision inForce;
    PlanId lastConfirmedPlan;
};

/// Whether the command had an effect.
struct DoneAnswer
{
    bool done = true;
};

using OperatorAnswer = std::variant<PlanAnswer, ConfirmedAnswer, RefusedAnswer>;
using CommandAnswer = std::variant<OperatorAnswer, ReservationAnswer, DoneAnswer>;

} // namespace tamarackcove
