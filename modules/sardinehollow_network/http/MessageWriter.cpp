#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/NumberFormatter.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <array>
#include <unordered_set>

namespace sardinehollow::network {

namespace {

constexpr std::array connectionFields {"Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Expect",
                                       "Content-Length",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization"};

void appendFields(std::string &text, const Poco::Net::MessageHeader &header)
{
    for (const auto &[name, value] : header) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    text += "\r\n";
}

} // namespace

void removeHopByHopFields(Poco::Net::MessageHeader &header)
{
    // MessageHeader::erase() searches all fields, which is too slow for each of many names.
    std::unordered_set<std::string> present;
    for (const auto &[name, value] : header)
        present.insert(Poco::toLower(name));
    const Poco::StringTokenizer named(header.get("Connection", ""), ",",
                                      Poco::StringTokenizer::TOK_TRIM
                                              | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    for (const std::string &name : named) {
        if (present.erase(Poco::toLower(name)) > 0)
            header.erase(name);
    }
    for (const char *name : connectionFields)
        header.erase(name);
}

std::string toText(const Poco::Net::HTTPRequest &request)
{
    std::string text = request.getMethod() + " " + request.getURI() + " HTTP/1.1\r\n";
    appendFields(text, request);
    return text;
}

std::string toText(const Poco::Net::HTTPResponse &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(static_cast<int>(response.getStatus())) + " "
            + response.getReason() + "\r\n";
    appendFields(text, response);
    return text;
}

std::string toChunk(std::string_view bytes)
{
    std::string chunk = Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(bytes.size()));
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    return chunk;
}

} // namespace sardinehollow::network
