#include "ViewEncoding.h"

namespace tamarackcove {

TargetHealth toHealth(int value)
{
    switch (value) {
    case static_cast<int>(TargetHealth::Serving):
        return TargetHealth::Serving;
    case static_cast<int>(TargetHealth::Suspect):
        return TargetHealth::Suspect;
    default:
        return TargetHealth::Leaving;
    }
}

std::optional<ResidencyState> toResidency(int value)
{
    switch (value) {
    case static_cast<int>(ResidencyState::Loading):
        return ResidencyState::Loading;
    case static_cast<int>(ResidencyState::Resident):
        return ResidencyState::Resident;
    case static_cast<int>(ResidencyState::Retiring):
        return ResidencyState::Retiring;
    default:
        return std::nullopt;
    }
}

int fromResidency(std::optional<ResidencyState> state)
{
    return state ? static_cast<int>(*state) : ViewMessage::Absent;
}

WireTarget toWire(std::uint32_t index, const TargetView &target)
{
    std::vector<std::pair<std::string, int>> adapters;
    for (const auto &[adapter, state] : target.adapters) {
        adapters.emplace_back(adapter.toString(), static_cast<int>(state));
    }
    return {index,
            target.id.value(),
            target.endpoint.host,
            target.endpoint.port,
            static_cast<int>(target.kind),
            target.service.value(),
            target.baseModel.value(),
            target.incarnation.value(),
            static_cast<int>(target.fencing),
            static_cast<int>(target.health),
            target.adapterSlots,
            target.maxBatch,
            target.running,
            target.waiting,
            std::move(adapters)};
}

TargetView toTargetView(const WireTarget &wire, TimePoint now)
{
    const auto &[index, id, host, port, kind, service, baseModel, incarnation, fencing, health, slots, batch, running,
                 waiting, adapters]
        = wire;
    TargetView target;
    target.id = TargetId(id);
    target.endpoint = Endpoint{.host = host, .port = port};
    target.kind = kind == static_cast<int>(TargetKind::Service) ? TargetKind::Service : TargetKind::Engine;
    target.service = ServiceName(service);
    target.baseModel = BaseModel(baseModel);
    target.incarnation = Incarnation(incarnation);
    target.fencing
        = fencing == static_cast<int>(FencingSupport::Refuses) ? FencingSupport::Refuses : FencingSupport::Ignores;
    target.health = toHealth(health);
    target.adapterSlots = slots;
    target.maxBatch = batch;
    target.running = running;
    target.waiting = waiting;
    target.reportedAt = now;
    for (const auto &[name, state] : adapters) {
        const auto adapter = AdapterRef::parse(name);
        const auto residency = toResidency(state);
        if (adapter && residency) {
            target.adapters.emplace(*adapter, *residency);
        }
    }
    return target;
}

} // namespace tamarackcove
