#include "tamarackcove/Http/MemoryAccount.h"

#include "tamarackcove/Http/MemoryBudget.h"

#include <cassert>
#include <utility>

namespace tamarackcove {

MemoryAccount::MemoryAccount(MemoryBudget &budget, ShedHook onShed)
    : m_budget(budget)
    , m_onShed(std::move(onShed))
{
}

MemoryAccount::~MemoryAccount()
{
    close();
}

bool MemoryAccount::open(TimePoint now)
{
    assert(!m_open && "an account is opened once");
    if (!m_budget.makeRoomForConnection(*this, 1, MemoryBudget::ConnectionBytes)) {
        return false;
    }
    m_since = now;
    m_open = true;
    m_budget.m_accounts.insert(this);
    setConnectionBytes(MemoryBudget::ConnectionBytes);
    return true;
}

bool MemoryAccount::startRequest(TimePoint now)
{
    constexpr auto Added = MemoryBudget::RunningConnectionBytes - MemoryBudget::ConnectionBytes;
    if (!m_open || !m_budget.makeRoomForConnection(*this, 0, Added)) {
        return false;
    }
    setConnectionBytes(MemoryBudget::RunningConnectionBytes);
    m_state = State::Running;
    m_since = now;
    return true;
}

void MemoryAccount::setAnswered(TimePoint now)
{
    m_state = State::Answered;
    m_since = now;
}

void MemoryAccount::setReceiving(TimePoint since)
{
    m_state = State::Receiving;
    m_since = since;
    if (m_open) {
        setConnectionBytes(MemoryBudget::ConnectionBytes);
    }
}

void MemoryAccount::setConnectionBytes(std::size_t bytes)
{
    m_budget.m_connectionBytes = m_budget.m_connectionBytes - m_connectionBytes + bytes;
    m_connectionBytes = bytes;
}

bool MemoryAccount::resize(std::size_t bytes)
{
    if (!m_open) {
        return true;
    }
    if (bytes > m_bytes && !m_budget.makeRoomForBytes(*this, bytes - m_bytes)) {
        return false;
    }
    m_budget.m_bytes = m_budget.m_bytes - m_bytes + bytes;
    m_bytes = bytes;
    return true;
}

void MemoryAccount::release()
{
    assert(m_budget.m_bytes >= m_bytes && "every byte of an account is counted in the total");
    m_budget.m_bytes -= std::exchange(m_bytes, 0);
}

void MemoryAccount::shedBytes()
{
    if (m_state == State::Answered) {
        ++m_budget.m_counts.answersShed;
        close();
        m_onShed(Loss::Connection);
        return;
    }
    ++m_budget.m_counts.bodiesShed;
    release();
    m_onShed(Loss::Body);
}

void MemoryAccount::shedConnection()
{
    ++m_budget.m_counts.connectionsShed;
    close();
    m_onShed(Loss::Connection);
}

void MemoryAccount::close()
{
    release();
    setConnectionBytes(0);
    m_open = false;
    m_budget.m_accounts.erase(this);
}

std::size_t MemoryAccount::bytes() const
{
    return m_bytes;
}

TimePoint MemoryAccount::since() const
{
    return m_since;
}

bool MemoryAccount::canBeShed() const
{
    return m_state != State::Running;
}

} // namespace tamarackcove
