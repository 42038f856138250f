#include "tamarackcove/Control/Fleet/FleetLog.h"

#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Observe/LogLine.h"

#include <stdexcept>

namespace tamarackcove {

FleetLog::FleetLog(OnChange onChange)
    : m_onChange(std::move(onChange))
{
}

StateMachineHooks FleetLog::hooks()
{
    return {.apply =
                [this](std::uint64_t index, std::chrono::system_clock::time_point time, std::string_view bytes) {
                    const auto command = decodeFleetCommand(bytes);
                    if (command.has_error()) {
                        // All replicas skip the same command, so their states stay identical.
                        LogLine(LogLevel::Error, "command_unreadable").add("reason", command.error().detail);
                        return std::string();
                    }
                    m_state.apply(index, time, command.value());
                    m_onChange(&command.value());
                    return std::string();
                },
            .saveSnapshot = [this] { return encodeFleetImage(m_state.image()); },
            .loadSnapshot =
                [this](std::string_view bytes) {
                    auto image = decodeFleetImage(bytes);
                    if (image.has_error()) {
                        // The log has verified the file, so a snapshot that cannot be decoded comes from another
                        // version of the program.
                        throw std::runtime_error("cannot read the snapshot of the state: " + image.error().detail);
                    }
                    m_state.restore(std::move(image).value());
                    m_onChange(nullptr);
                }};
}

const FleetState &FleetLog::state() const
{
    return m_state;
}

} // namespace tamarackcove
