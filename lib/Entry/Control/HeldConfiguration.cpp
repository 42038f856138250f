#include "tamarackcove/Entry/Control/HeldConfiguration.h"

#include <utility>

namespace tamarackcove {

Result<void, WireError> HeldConfiguration::Parts::add(ConfigurationDelta part)
{
    if (part.full) {
        m_changes.reset();
        m_whole = std::make_unique<ServingConfiguration>();
        applyDelta(*m_whole, part);
        return ok();
    }
    const auto reached = m_whole ? m_whole->revision : m_changes ? m_changes->to : part.from;
    if (part.from != reached) {
        return WireError{WireErrorCode::UnexpectedMessage, "the parts of a configuration do not follow each other"};
    }
    if (m_whole) {
        applyDelta(*m_whole, part);
    } else if (m_changes) {
        m_changes->append(part);
    } else {
        m_changes = std::move(part);
    }
    return ok();
}

Revision HeldConfiguration::newest() const
{
    return m_steps.empty() ? m_inForce.revision : m_steps.back().to;
}

const ServingConfiguration &HeldConfiguration::inForce() const
{
    return m_inForce;
}

bool HeldConfiguration::hasAny() const
{
    return m_hasAny;
}

void HeldConfiguration::holdEmpty()
{
    m_hasAny = true;
}

bool HeldConfiguration::hold(Parts parts)
{
    Step step;
    if (parts.m_whole) {
        step.to = parts.m_whole->revision;
        step.whole = std::move(parts.m_whole);
    } else if (parts.m_changes && parts.m_changes->from == newest()) {
        step.to = parts.m_changes->to;
        step.changes = std::move(*parts.m_changes);
    } else {
        return false;
    }
    if (step.to <= newest()) {
        return false;
    }
    if (step.whole) {
        m_steps.clear();
    }
    m_steps.push_back(std::move(step));
    m_hasAny = true;
    return true;
}

void HeldConfiguration::apply(Step &step, ServingConfiguration &configuration)
{
    if (step.whole) {
        configuration = std::move(*step.whole);
    } else {
        applyDelta(configuration, step.changes);
    }
}

void HeldConfiguration::activate(Revision revision)
{
    while (!m_steps.empty() && m_steps.front().to <= revision) {
        apply(m_steps.front(), m_inForce);
        m_steps.pop_front();
    }
}

ServingConfiguration HeldConfiguration::copyNewest() const
{
    auto configuration = m_inForce;
    for (const auto &step : m_steps) {
        if (step.whole) {
            configuration = *step.whole;
        } else {
            applyDelta(configuration, step.changes);
        }
    }
    return configuration;
}

} // namespace tamarackcove
