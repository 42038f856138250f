#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace tamarackcove {

/// Appends values to a buffer: numbers with seven bits in each byte, least significant bits first, and strings after
/// their length.
class SnapshotWriter
{
public:
    void number(std::uint64_t value)
    {
        while (value >= 0x80) {
            m_bytes += static_cast<char>(value | 0x80);
            value >>= 7;
        }
        m_bytes += static_cast<char>(value);
    }
    void flag(bool value)
    {
        m_bytes += value ? '\1' : '\0';
    }
    void text(std::string_view value)
    {
        number(value.size());
        m_bytes += value;
    }
    void real(double value)
    {
        text(std::string_view(reinterpret_cast<const char *>(&value), sizeof value));
    }
    void time(std::chrono::system_clock::time_point value)
    {
        number(static_cast<std::uint64_t>(value.time_since_epoch().count()));
    }
    [[nodiscard]] std::string take()
    {
        return std::move(m_bytes);
    }

private:
    std::string m_bytes;
};

/// Reads the values that a SnapshotWriter wrote, in the same order. Reading past the end of the bytes throws
/// std::runtime_error.
class SnapshotReader
{
public:
    explicit SnapshotReader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }
    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto byte = static_cast<unsigned char>(takeBytes(1).front());
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if ((byte & 0x80) == 0) {
                return value;
            }
        }
        throw std::runtime_error("a number is too long");
    }
    bool flag()
    {
        return takeBytes(1).front() != '\0';
    }
    std::string text()
    {
        return std::string(takeBytes(number()));
    }
    double real()
    {
        double value = 0;
        const auto bytes = text();
        if (bytes.size() != sizeof value) {
            throw std::runtime_error("a real number has the wrong length");
        }
        bytes.copy(reinterpret_cast<char *>(&value), sizeof value);
        return value;
    }
    std::chrono::system_clock::time_point time()
    {
        return std::chrono::system_clock::time_point(std::chrono::system_clock::duration(number()));
    }
    [[nodiscard]] bool atEnd() const
    {
        return m_bytes.empty();
    }

private:
    std::string_view takeBytes(std::size_t count)
    {
        if (count > m_bytes.size()) {
            throw std::runtime_error("unexpected end of the snapshot");
        }
        const auto bytes = m_bytes.substr(0, count);
        m_bytes.remove_prefix(count);
        return bytes;
    }

    std::string_view m_bytes;
};

} // namespace tamarackcove
