#pragma once

#include "tamarackcove/Configuration/Command.h"
#include "tamarackcove/Control/ControlParts.h"
#include "tamarackcove/Wire/Message.h"

#include <boost/asio/awaitable.hpp>

namespace tamarackcove {

struct PermitRequestMessage;
struct ZoneVoteMessage;

/// Answers the calls of entries: reservations, crash reports, store permits, zone votes and zone reports.
///
/// Thread safety: used on one thread; answers of several connections may be in progress at once.
class EntryCalls
{
public:
    explicit EntryCalls(ControlParts parts);

    /// Answers one message; a `refused` message when it cannot be carried out.
    boost::asio::awaitable<Message> answer(Message message);

private:
    boost::asio::awaitable<Message> answerCommand(Command command);
    boost::asio::awaitable<Message> answerPermit(PermitRequestMessage request);
    boost::asio::awaitable<Message> answerVote(ZoneVoteMessage request);
    /// Makes sure that this process leads now. Returns the refusal otherwise.
    boost::asio::awaitable<Result<void, LogError>> proveLeadership();

    ControlParts m_parts;
};

} // namespace tamarackcove
