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

    /// Answers one message. The answer is a `refused` message if the call fails.
    boost::asio::awaitable<Message> answer(Message message);

private:
    boost::asio::awaitable<Message> answerCommand(Command command);
    boost::asio::awaitable<Message> answerPermit(PermitRequestMessage request);
    boost::asio::awaitable<Message> answerVote(ZoneVoteMessage request);
    /// Confirms by a read barrier that this process leads, and brings the leader's in-memory state to the current term
    /// and the configured store limits. If the barrier fails, returns its error.
    boost::asio::awaitable<Result<void, LogError>> confirmLeadership();

    ControlParts m_parts;
};

} // namespace tamarackcove
