#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Removes hop-by-hop fields (RFC 9110, 7.6.1) and the fields that frame the body. */
void removeHopByHopFields(Poco::Net::MessageHeader &header);

std::string toText(const Poco::Net::HTTPRequest &request);
std::string toText(const Poco::Net::HTTPResponse &response);
/** Encodes bytes as one chunk; empty input gives the last chunk, which ends a body. */
std::string toChunk(std::string_view bytes);

} // namespace sardinehollow::network
