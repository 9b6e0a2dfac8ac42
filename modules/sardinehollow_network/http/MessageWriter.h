#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Removes the fields that concern one connection only (RFC 9110, 7.6.1) and the body's framing. */
void removeConnectionFields(Poco::Net::MessageHeader &header);

std::string toText(const Poco::Net::HTTPRequest &request);
std::string toText(const Poco::Net::HTTPResponse &response);
/** Frames bytes as one chunk; an empty text gives the chunk that ends a body. */
std::string toChunk(std::string_view bytes);

} // namespace sardinehollow::network
