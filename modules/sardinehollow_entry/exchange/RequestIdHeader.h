#pragma once

#include "sardinehollow_entry/handlers/EntryServices.h"

#include <Poco/Net/HTTPRequest.h>

#include <string>

namespace sardinehollow::entry {

/**
 * Returns the request id that the caller sent, or a new one if it sent none or one that is too long
 * or has characters other than letters, digits, '-', '_' and '.'.
 */
std::string requestIdOf(const Poco::Net::HTTPRequest &request, EntryServices &services);

} // namespace sardinehollow::entry
