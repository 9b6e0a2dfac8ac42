#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_routing/entries/EntryDaemon.h"

#include <string>

namespace sardinehollow::gateway {

/** Prefix of the daemons' entries in the store; the rest of a key is the VM's name. */
inline constexpr const char *entryPrefix = "sardinehollow/entries/";

std::string encodeEntry(const routing::EntryDaemon &daemon);
core::Result<routing::EntryDaemon> decodeEntry(const std::string &text);

} // namespace sardinehollow::gateway
