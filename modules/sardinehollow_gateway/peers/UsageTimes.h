#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::gateway {

/** Interval at which surges are noticed while quotas are in use. */
inline constexpr core::Duration pollInterval = std::chrono::milliseconds(25);
/** Interval of the summaries while quotas are in use. */
inline constexpr core::Duration quotaSummaryInterval = std::chrono::milliseconds(200);
/** Interval of the reports and summaries while only demand is shared. */
inline constexpr core::Duration demandReportInterval = std::chrono::milliseconds(500);
/**
 * Shortest intervals of the demand in reports, summaries and verdicts. It changes slowly, and with
 * ten services it is larger than the rest of a message.
 */
inline constexpr core::Duration demandInterval = std::chrono::milliseconds(400);
inline constexpr core::Duration demandSummaryInterval = std::chrono::milliseconds(450);
inline constexpr core::Duration demandViewInterval = std::chrono::milliseconds(900);
/** Shortest time for which a daemon reports to a coordinator that does not answer. */
inline constexpr core::Duration receiverTrialTime = std::chrono::milliseconds(300);
/** The same at its start, when the coordinators may have been started at the same moment. */
inline constexpr core::Duration firstTrialTime = std::chrono::seconds(1);
/** Time after which verdicts are taken as lost: that of QuotaGate, and two reports of demand. */
inline constexpr core::Duration quotaVerdictTimeout = std::chrono::milliseconds(700);
inline constexpr core::Duration demandVerdictTimeout = std::chrono::milliseconds(1200);

} // namespace sardinehollow::gateway
