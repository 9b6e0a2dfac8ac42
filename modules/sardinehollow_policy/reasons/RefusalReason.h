#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace sardinehollow::policy {

/** Why a request was refused. Each has a counter and a remedy in the operator documentation. */
enum class RefusalReason {
    None,
    NoConfiguration,
    UnknownWorkKind,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoCapacity,
    NoLiveBackendServer,
    OwnershipHoldOff,
    NotOwner,
    ShiftCap,
    RetryBudget,
    Quarantined,
    BackendShed,
    BackendUnreachable,
    Leaving,
    KeyMissing,
    KeyInvalid,
    KeyReused,
    KeyInProgress,
    ClaimStoreUnavailable,
    ClaimUnaccounted,
    AnswerTruncated,
    BackendTimeout,
    BodyTooLarge,
    MalformedRequest,
    Paused,
    Count,
};

inline constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::Count);

/** Returns the kebab-case name that callers see in Sardinehollow-Reason. */
std::string_view toName(RefusalReason reason);
std::optional<RefusalReason> refusalReasonFromName(std::string_view name);

} // namespace sardinehollow::policy
