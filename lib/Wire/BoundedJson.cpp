#include "tamarackcove/Wire/BoundedJson.h"

#include <string>
#include <utility>
#include <vector>

using nlohmann::json;

namespace tamarackcove {

namespace {

/// Builds a value from the events of the parsers, and stops them at an array or object that is nested too deeply.
class BoundedBuilder
{
public:
    // The names that the parsers of nlohmann::json require of a handler.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null()
    {
        return add(nullptr);
    }
    bool boolean(bool value)
    {
        return add(value);
    }
    bool number_integer(json::number_integer_t value)
    {
        return add(value);
    }
    bool number_unsigned(json::number_unsigned_t value)
    {
        return add(value);
    }
    bool number_float(json::number_float_t value, const std::string & /*text*/)
    {
        return add(value);
    }
    bool string(std::string &value)
    {
        return add(std::move(value));
    }
    bool binary(json::binary_t &value)
    {
        return add(std::move(value));
    }
    bool start_object(std::size_t /*size*/)
    {
        return open(json::object());
    }
    bool key(std::string &name)
    {
        m_member = &(*m_open.back())[std::move(name)];
        return true;
    }
    bool end_object()
    {
        m_open.pop_back();
        return true;
    }
    bool start_array(std::size_t /*size*/)
    {
        return open(json::array());
    }
    bool end_array()
    {
        m_open.pop_back();
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const json::exception &error)
    {
        m_error = error.what();
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

    /// The value that was built. Throws json::exception if the parser has failed.
    json finish(bool parsed)
    {
        if (!parsed) {
            throw json::other_error::create(ErrorId, m_error, nullptr);
        }
        return std::move(m_root);
    }

private:
    /// Of the range that nlohmann::json uses for errors outside its own parsers.
    static constexpr int ErrorId = 501;

    /// Puts the value where the parser is, and returns its place.
    json *place(json value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        auto &parent = *m_open.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        *m_member = std::move(value);
        return m_member;
    }
    bool add(json value)
    {
        (void)place(std::move(value));
        return true;
    }
    bool open(json container)
    {
        if (m_open.size() == MaxJsonDepth) {
            m_error = "arrays and objects are nested more than " + std::to_string(MaxJsonDepth) + " levels deep";
            return false;
        }
        // Nothing is added to a container while one inside it is open, so that the places stay valid.
        m_open.push_back(place(std::move(container)));
        return true;
    }

    json m_root;
    std::vector<json *> m_open;
    /// The member of the innermost object whose value follows.
    json *m_member = nullptr;
    std::string m_error;
};

} // namespace

json parseJson(std::string_view text)
{
    BoundedBuilder builder;
    const bool parsed = json::sax_parse(text, &builder);
    return builder.finish(parsed);
}

json parseMessagePack(std::span<const std::uint8_t> bytes)
{
    BoundedBuilder builder;
    const bool parsed = json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::msgpack);
    return builder.finish(parsed);
}

} // namespace tamarackcove
