#pragma once

#include "tamarackcove/Base/Result.h"
#include "tamarackcove/Configuration/Command.h"
#include "tamarackcove/Wire/WireError.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tamarackcove {

/// The largest encoded command. The replicated log sends commands in frames of at most 1 MiB.
inline constexpr std::size_t MaxCommandBytes = 768 * 1024;

/// Commands as the replicated log keeps them. Thread safe.
[[nodiscard]] std::string encodeCommand(const Command &command);
[[nodiscard]] Result<Command, WireError> decodeCommand(std::string_view bytes);

/// Answers as they travel from the state machine to the proposer in the same process. Thread safe.
[[nodiscard]] std::string encodeAnswer(const CommandAnswer &answer);
/// Precondition: the bytes come from encodeAnswer() of an OperatorAnswer.
[[nodiscard]] nlohmann::json decodeOperatorAnswer(std::string_view bytes, int &httpStatus);
/// Precondition: the bytes come from encodeAnswer() of a ReservationAnswer.
[[nodiscard]] ReservationAnswer decodeReservation(std::string_view bytes);
/// Precondition: the bytes come from encodeAnswer() of a DoneAnswer.
[[nodiscard]] bool decodeDone(std::string_view bytes);

} // namespace tamarackcove
