#include "DescriptorWriter.h"

#include <poll.h>
#include <unistd.h>

namespace tamarackcove {

bool writeWithin(int descriptor, std::string_view bytes, milliseconds timeout) noexcept
{
    pollfd state{.fd = descriptor, .events = POLLOUT, .revents = 0};
    if (::poll(&state, 1, static_cast<int>(timeout.count())) != 1 || (state.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

} // namespace tamarackcove
