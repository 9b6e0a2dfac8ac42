#pragma once

#include <string>

namespace sardinehollow::core {

/** Encodes bytes as Base64 on one line, with padding. */
std::string toBase64(const std::string &bytes);

/** Decodes Base64 text; an invalid text throws Poco::DataFormatException. */
std::string fromBase64(const std::string &text);

} // namespace sardinehollow::core
