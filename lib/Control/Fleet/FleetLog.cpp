#include "tamarackcove/Control/Fleet/FleetLog.h"

#include "tamarackcove/Control/Fleet/FleetCodec.h"
#include "tamarackcove/Observe/LogLine.h"

#include <stdexcept>

namespace tamarackcove {

FleetLog::FleetLog(std::function<void()> onChange)
    : m_onChange(std::move(onChange))
{
}

StateMachineHooks FleetLog::hooks()
{
    return {.apply =
                [this](std::uint64_t index, std::chrono::system_clock::time_point time, std::string_view bytes) {
                    const auto command = decodeFleetCommand(bytes);
                    if (command.has_error()) {
                        // Every replica skips the same command, so they stay equal.
                        LogLine(LogLevel::Error, "command_unreadable").add("reason", command.error().detail);
                        return std::string();
                    }
                    m_state.apply(index, time, command.value());
                    m_onChange();
                    return std::string();
                },
            .saveSnapshot = [this] { return encodeFleetImage(m_state.image()); },
            .loadSnapshot =
                [this](std::string_view bytes) {
                    auto image = decodeFleetImage(bytes);
                    if (image.has_error()) {
                        // The log has checked the file; a snapshot that cannot be read is of another version.
                        throw std::runtime_error("cannot read the snapshot of the state: " + image.error().detail);
                    }
                    m_state.restore(std::move(image).value());
                    m_onChange();
                }};
}

const FleetState &FleetLog::state() const
{
    return m_state;
}

} // namespace tamarackcove
