#pragma once

#include "sardinehollow_entry/handlers/EntryServices.h"

#include <Poco/Net/HTTPRequest.h>

#include <string>

namespace sardinehollow::entry {

/** The caller's name for the request if it is short and plain, otherwise a new one. */
std::string requestName(const Poco::Net::HTTPRequest &request, EntryServices &services);

} // namespace sardinehollow::entry
