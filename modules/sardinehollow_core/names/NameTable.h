#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace sardinehollow::core {

/** Maps the values of an enumeration to their external names and back. */
template <typename Enum, std::size_t Size>
class NameTable
{
public:
    using Entry = std::pair<Enum, std::string_view>;

    constexpr explicit NameTable(std::array<Entry, Size> entries)
        : m_entries(entries)
    { }

    /** Returns the name of a value, or "unnamed" if it is not in the table. */
    constexpr std::string_view name(Enum value) const
    {
        for (const Entry &entry : m_entries) {
            if (entry.first == value)
                return entry.second;
        }
        return "unnamed";
    }

    /** Returns the value with the given name, or nothing. */
    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const Entry &entry : m_entries) {
            if (entry.second == name)
                return entry.first;
        }
        return std::nullopt;
    }

    constexpr const std::array<Entry, Size> &entries() const { return m_entries; }

private:
    std::array<Entry, Size> m_entries;
};

template <typename Enum, std::size_t Size>
NameTable(std::array<std::pair<Enum, std::string_view>, Size>) -> NameTable<Enum, Size>;

} // namespace sardinehollow::core
