#include "tamarackcove/Entry/Control/HeldConfiguration.h"

#include <utility>

namespace tamarackcove {

Result<void, WireError> HeldConfiguration::Parts::add(ConfigurationDelta part)
{
    if (part.full) {
        m_changes.reset();
        m_fullConfiguration = std::make_unique<ServingConfiguration>();
        applyDelta(*m_fullConfiguration, part);
        return ok();
    }
    const auto reachedRevision = m_fullConfiguration ? m_fullConfiguration->revision
        : m_changes                                  ? m_changes->to
                                                     : part.from;
    if (part.from != reachedRevision) {
        return WireError{WireErrorCode::UnexpectedMessage,
                         "configuration part does not start at the revision where the previous part ended"};
    }
    if (m_fullConfiguration) {
        applyDelta(*m_fullConfiguration, part);
    } else if (m_changes) {
        m_changes->append(part);
    } else {
        m_changes = std::move(part);
    }
    return ok();
}

Revision HeldConfiguration::newestRevision() const
{
    return m_pendingRevisions.empty() ? m_inForce.revision : m_pendingRevisions.back().to;
}

const ServingConfiguration &HeldConfiguration::inForce() const
{
    return m_inForce;
}

bool HeldConfiguration::hasReceivedAny() const
{
    return m_hasReceivedAny;
}

void HeldConfiguration::recordEmptyConfiguration()
{
    m_hasReceivedAny = true;
}

bool HeldConfiguration::addRevision(Parts parts)
{
    PendingRevision pending;
    if (parts.m_fullConfiguration) {
        pending.to = parts.m_fullConfiguration->revision;
        pending.replacement = std::move(parts.m_fullConfiguration);
    } else if (parts.m_changes && parts.m_changes->from == newestRevision()) {
        pending.to = parts.m_changes->to;
        pending.changes = std::move(*parts.m_changes);
    } else {
        return false;
    }
    if (pending.to <= newestRevision()) {
        return false;
    }
    if (pending.replacement) {
        m_pendingRevisions.clear();
    }
    m_pendingRevisions.push_back(std::move(pending));
    m_hasReceivedAny = true;
    return true;
}

void HeldConfiguration::apply(PendingRevision &pending, ServingConfiguration &configuration)
{
    if (pending.replacement) {
        configuration = std::move(*pending.replacement);
    } else {
        applyDelta(configuration, pending.changes);
    }
}

void HeldConfiguration::activate(Revision revision)
{
    while (!m_pendingRevisions.empty() && m_pendingRevisions.front().to <= revision) {
        apply(m_pendingRevisions.front(), m_inForce);
        m_pendingRevisions.pop_front();
    }
}

ServingConfiguration HeldConfiguration::copyNewest() const
{
    auto configuration = m_inForce;
    for (const auto &pending : m_pendingRevisions) {
        if (pending.replacement) {
            configuration = *pending.replacement;
        } else {
            applyDelta(configuration, pending.changes);
        }
    }
    return configuration;
}

} // namespace tamarackcove
