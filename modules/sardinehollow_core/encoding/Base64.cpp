#include "sardinehollow_core/encoding/Base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <iterator>
#include <sstream>

namespace sardinehollow::core {

std::string toBase64(const std::string &bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string fromBase64(const std::string &text)
{
    std::istringstream input(text);
    Poco::Base64Decoder decoder(input);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

} // namespace sardinehollow::core
