#pragma once

#include "tamarackcove/Base/Number.h"
#include "tamarackcove/Base/StringId.h"

namespace tamarackcove {

/// An engine or a plain service that announced itself.
using TargetId = StringId<struct TargetTag>;
/// An entry process.
using EntryId = StringId<struct EntryTag>;
/// A replica of the control group. A host with an emptied disk gets a new one.
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
/// Orders a zone coordinator's orders to targets; a later coordinator has a higher number.
using FencingNumber = Number<struct FencingTag>;
/// Changes with each start of a target.
using Incarnation = Number<struct IncarnationTag>;

} // namespace tamarackcove
