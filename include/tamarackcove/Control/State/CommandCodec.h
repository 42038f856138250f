#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/Command.h"
#include "tamarackcove/Wire/WireError.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Encodes a command as the replicated log stores it. Thread safe.
[[nodiscard]] std::string encodeCommand(const Command &command);
/// Decodes the result of encodeCommand(). Thread safe.
[[nodiscard]] Result<Command, WireError> decodeCommand(std::string_view bytes);

/// Encodes the answer that the state machine returns to the proposer in the same process. Thread safe.
[[nodiscard]] std::string encodeAnswer(const CommandAnswer &answer);
/// Returns the body of the HTTP response and sets its status. Thread safe.
/// Precondition: the bytes come from encodeAnswer() of an OperatorAnswer.
[[nodiscard]] nlohmann::json decodeOperatorAnswer(std::string_view bytes, int &httpStatus);
/// Precondition: the bytes come from encodeAnswer() of a ReservationAnswer.
[[nodiscard]] ReservationAnswer decodeReservationAnswer(std::string_view bytes);
/// Returns whether the command had an effect.
/// Precondition: the bytes come from encodeAnswer() of an AppliedAnswer.
[[nodiscard]] bool decodeAppliedAnswer(std::string_view bytes);

} // namespace tamarackcove
