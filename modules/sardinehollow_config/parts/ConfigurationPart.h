#pragma once

#include <string>

namespace sardinehollow::config {

/** A content-addressed part of a configuration, stored and sent under its digest. */
struct ConfigurationPart
{
    /** SHA-256 digest of the text, in hexadecimal. */
    std::string digest;
    std::string text;
};

} // namespace sardinehollow::config
