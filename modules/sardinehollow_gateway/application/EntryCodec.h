#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_routing/entries/EntryDaemon.h"
#include "sardinehollow_routing/quarantine/CrashReport.h"

#include <string>
#include <vector>

namespace sardinehollow::gateway {

/** Prefix of the daemons' entries in the store; the rest of a key is the VM's name. */
inline constexpr const char *entryPrefix = "sardinehollow/entries/";

/** A daemon's entry in the store: its address for callers, and the crashes that it observed. */
struct Entry
{
    routing::EntryDaemon daemon;
    std::vector<routing::CrashReport> crashReports;
};

std::string encodeEntry(const Entry &entry);
core::Result<Entry> decodeEntry(const std::string &text);

} // namespace sardinehollow::gateway
