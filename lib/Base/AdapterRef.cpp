#include "tamarackcove/Base/AdapterRef.h"

#include "tamarackcove/Base/Hash.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace tamarackcove {

static constexpr std::size_t MaxAdapterTextBytes = 256;

static bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '/' || c == '-';
}

static bool isNamePart(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isNameCharacter);
}

AdapterRef::AdapterRef(std::string name, std::string version)
    : m_name(std::move(name))
    , m_version(std::move(version))
{
}

std::optional<AdapterRef> AdapterRef::parse(std::string_view text)
{
    if (text.size() > MaxAdapterTextBytes) {
        return std::nullopt;
    }
    const auto separator = text.find('@');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto name = text.substr(0, separator);
    const auto version = text.substr(separator + 1);
    if (!isNamePart(name) || !isNamePart(version)) {
        return std::nullopt;
    }
    return AdapterRef(std::string(name), std::string(version));
}

std::string AdapterRef::toString() const
{
    return m_name + '@' + m_version;
}

} // namespace tamarackcove

std::size_t std::hash<tamarackcove::AdapterRef>::operator()(const tamarackcove::AdapterRef &adapter) const noexcept
{
    return tamarackcove::hash64(adapter.name(), tamarackcove::hash64(adapter.version()));
}
