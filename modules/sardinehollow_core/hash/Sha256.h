#pragma once

#include <string>
#include <string_view>

namespace sardinehollow::core {

/** Returns the SHA-256 digest of the text as 64 lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view text);

} // namespace sardinehollow::core
