#pragma once

#include <Poco/Net/HTTPServerRequest.h>

#include <chrono>

namespace sardinehollow::standin {

/** Whether the caller has closed the connection of a request. */
bool isCallerDisconnected(Poco::Net::HTTPServerRequest &request);

/** Closes the connection of a request at once, which truncates the response. */
void closeConnection(Poco::Net::HTTPServerRequest &request);

} // namespace sardinehollow::standin
