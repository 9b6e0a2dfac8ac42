#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_daemon/steering/ValidatedEntries.h"
#include "sardinehollow_peer/generated/peer.pb.h"
#include "sardinehollow_policy/facade/PoolSummary.h"
#include "sardinehollow_policy/facade/QuarantineEntry.h"

#include <cstddef>
#include <string>

namespace sardinehollow::daemon {

/** Limit on the fingerprints in one notice; a notice with more is dropped. */
inline constexpr std::size_t maxNoticeEntries = 64;

/** Converts a summary; waits are rounded down to milliseconds and limited to ten minutes. */
peer::wire::PoolSummaries::Pool toWire(const policy::PoolSummary &summary);
/** Appends an entry to a notice; its remaining time is rounded up to 1 ms to 10 minutes. */
void addToWire(const policy::QuarantineEntry &entry, peer::wire::QuarantineNotice &notice);

/**
 * Validates the summaries that a daemon of a failure domain sent. Drops pools that are not
 * configured, whose number of ranks differs from the configuration or whose numbers are out of
 * range, and all pools of a message that has more of them than are configured.
 */
ValidatedEntries<policy::PoolSummary> fromWire(const peer::wire::PoolSummaries &message,
                                               const std::string &vm,
                                               const std::string &failureDomain,
                                               const config::Configuration &configuration);
/**
 * Validates a notice. Drops entries without a fingerprint or with a remaining time out of range,
 * and all entries of a notice that has too many of them or lists of unequal lengths.
 */
ValidatedEntries<policy::QuarantineEntry> fromWire(const peer::wire::QuarantineNotice &message);

} // namespace sardinehollow::daemon
