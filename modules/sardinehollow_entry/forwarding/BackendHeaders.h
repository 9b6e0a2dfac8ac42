#pragma once

#include "sardinehollow_policy/facade/BackendReport.h"

#include <Poco/Net/HTTPResponse.h>

namespace sardinehollow::entry {

/**
 * Reads a backend server's load and leaving state from the fields of its response. Returns false if
 * the response has neither.
 */
bool readBackendHeaders(const Poco::Net::HTTPResponse &response, policy::BackendReport &report);

} // namespace sardinehollow::entry
