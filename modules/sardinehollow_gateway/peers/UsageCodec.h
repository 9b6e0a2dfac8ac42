#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_gateway/peers/TeamIds.h"
#include "sardinehollow_gateway/peers/UsageMessage.h"
#include "sardinehollow_gateway/peers/VerdictMessage.h"
#include "sardinehollow_peer/generated/peer.pb.h"

namespace sardinehollow::gateway {

/**
 * Encodes reports, summaries and verdicts. Teams that are not among the identifiers are left out.
 * Decoding fails if a message contradicts itself. Factors are rounded down to 1/10,000, shares to
 * 1/100,000, arrival shares to 1/10,000 and loads to 1/1,000; busy times to a millisecond.
 */
peer::wire::Envelope encodeReport(const UsageMessage &message, const TeamIds &teams);
peer::wire::Envelope encodeSummary(const UsageMessage &message, const TeamIds &teams);
peer::wire::Envelope encodeVerdict(const VerdictMessage &message, const TeamIds &teams);

core::Result<UsageMessage> decodeReport(const peer::wire::UsageReport &message,
                                        const TeamIds &teams);
core::Result<UsageMessage> decodeSummary(const peer::wire::UsageSummary &message,
                                         const TeamIds &teams);
core::Result<VerdictMessage> decodeVerdict(const peer::wire::QuotaVerdict &message,
                                           const TeamIds &teams);

} // namespace sardinehollow::gateway
