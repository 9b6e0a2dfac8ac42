#pragma once

#include <optional>
#include <string>

namespace sardinehollow::config {

/** A value that differs between two configurations. */
struct Change
{
    /**
     * JSON pointer with element names instead of array positions, for example
     * "/workKinds/archives/queueLimit".
     */
    std::string path;
    /** Previous value; nothing if it was added. */
    std::optional<std::string> before;
    /** New value; nothing if it was removed. */
    std::optional<std::string> after;

    bool operator==(const Change &) const = default;
};

} // namespace sardinehollow::config
