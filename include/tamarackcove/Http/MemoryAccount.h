#pragma once

#include "tamarackcove/Base/Time.h"

#include <cstddef>
#include <functional>

namespace tamarackcove {

class MemoryBudget;

/// What one connection holds of a MemoryBudget. Everything is given back when the account is destroyed.
///
/// Thread safety: used on one thread.
class MemoryAccount
{
public:
    enum class State {
        /// No request, or one that has not arrived in full: it was not passed on. Can be shed.
        Receiving,
        /// A request is in progress. Never shed.
        Running,
        /// The request has ended, and its caller has not read the whole answer yet. Can be shed.
        Answered,
    };

    /// What the owner has to give up.
    enum class Loss {
        /// The part of a body that has arrived. It must be freed at once; the connection may be kept for a refusal.
        Body,
        /// The connection, which must be closed at once.
        Connection,
    };
    /// Called when the account is shed, from a call on another account of the budget. Must not destroy an account.
    using ShedHook = std::function<void(Loss)>;

    /// Precondition: the budget outlives this object.
    MemoryAccount(MemoryBudget &budget, ShedHook onShed);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// Counts a connection, in the state Receiving. Returns false and counts nothing if there is no room for it.
    /// Precondition: the account is not open.
    [[nodiscard]] bool open(TimePoint now);
    /// Sets the state Running. Returns false and changes nothing if there is no room for a connection with a request in
    /// progress, or if the account was shed. The request must not be passed on then.
    [[nodiscard]] bool startRequest(TimePoint now);
    /// Sets the state Answered.
    void setAnswered(TimePoint now);
    /// Sets the state Receiving. The age of the account counts from `since`.
    void setReceiving(TimePoint since);
    /// Sets the number of bytes that the account holds. Returns false and changes nothing if there is no room for them.
    /// Always succeeds if the number does not grow, and in an account whose connection was shed, which counts nothing.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Gives back all bytes.
    void release();
    [[nodiscard]] std::size_t bytes() const;
    [[nodiscard]] TimePoint since() const;
    [[nodiscard]] bool canBeShed() const;

private:
    friend class MemoryBudget;
    void shedBytes();
    void shedConnection();
    void setConnectionBytes(std::size_t bytes);
    void close();

    MemoryBudget &m_budget;
    ShedHook m_onShed;
    State m_state = State::Receiving;
    TimePoint m_since;
    std::size_t m_bytes = 0;
    /// Of the limit on what connections take besides large bodies.
    std::size_t m_connectionBytes = 0;
    /// Whether the connection is counted: from open() until it is shed.
    bool m_open = false;
};

} // namespace tamarackcove
