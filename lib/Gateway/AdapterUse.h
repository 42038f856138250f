#pragma once

#include "tamarackcove/Gateway/FleetView.h"

#include <utility>

namespace tamarackcove {

/// Counts one request as a use of an adapter at a server for as long as the object exists, also when the coroutine of
/// the request is destroyed while it waits.
///
/// Thread safety: used on the thread of the executor. Precondition: the view outlives this object.
class AdapterUse
{
public:
    AdapterUse(FleetView &view, TargetId server, AdapterKey adapter)
        : m_view(view)
        , m_server(std::move(server))
        , m_adapter(std::move(adapter))
    {
        m_view.beginUse(m_server, m_adapter);
    }
    ~AdapterUse()
    {
        m_view.endUse(m_server, m_adapter);
    }
    AdapterUse(const AdapterUse &) = delete;
    AdapterUse &operator=(const AdapterUse &) = delete;

private:
    FleetView &m_view;
    TargetId m_server;
    AdapterKey m_adapter;
};

} // namespace tamarackcove
