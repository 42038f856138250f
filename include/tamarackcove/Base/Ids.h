#pragma once

#include "tamarackcove/Base/Number.h"
#include "tamarackcove/Base/StringId.h"

namespace tamarackcove {

/// An engine or a plain service that announced itself. An engine runs a base model with adapters; a plain service
/// answers ordinary HTTP calls and has no base model and no adapters.
using TargetId = StringId<struct TargetTag>;
/// An entry process.
using EntryId = StringId<struct EntryTag>;
/// A replica of the control group. A host whose disk was emptied gets a new replica id.
using ReplicaId = StringId<struct ReplicaTag>;
/// An availability zone.
using Zone = StringId<struct ZoneTag>;
/// One caller request, unique over all entries.
using RequestId = StringId<struct RequestTag>;
/// One operator command; a resent command carries the same id.
using CommandId = StringId<struct CommandTag>;
using PlanId = StringId<struct PlanTag>;
using IntentName = StringId<struct IntentTag>;
using ServiceName = StringId<struct ServiceTag>;
using BaseModel = StringId<struct BaseModelTag>;

/// The revision of the accepted configuration.
using Revision = Number<struct RevisionTag>;
/// Carried by the orders of a zone coordinator to targets. A later coordinator has a higher number, so that a target
/// can reject the orders of an earlier one.
using FencingNumber = Number<struct FencingTag>;
/// Distinguishes the runs of a target: it changes each time the target starts.
using Incarnation = Number<struct IncarnationTag>;

} // namespace tamarackcove
