#include "sardinehollow_policy/reasons/RefusalReason.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::policy {

namespace {

constexpr core::NameTable names {
        std::array<std::pair<RefusalReason, std::string_view>, refusalReasonCount> {{
                {RefusalReason::None, "none"},
                {RefusalReason::NoConfiguration, "no-configuration"},
                {RefusalReason::UnknownWorkKind, "unknown-work-kind"},
                {RefusalReason::QueueFull, "queue-full"},
                {RefusalReason::DeadlineTooShort, "deadline-too-short"},
                {RefusalReason::DeadlinePassed, "deadline-passed"},
                {RefusalReason::NoCapacity, "no-capacity"},
                {RefusalReason::NoLiveBackendServer, "no-live-backend-server"},
                {RefusalReason::OwnershipHoldOff, "ownership-hold-off"},
                {RefusalReason::NotOwner, "not-owner"},
                {RefusalReason::ShiftCap, "shift-cap"},
                {RefusalReason::RetryBudget, "retry-budget"},
                {RefusalReason::Quarantined, "quarantined"},
                {RefusalReason::BackendShed, "backend-shed"},
                {RefusalReason::BackendUnreachable, "backend-unreachable"},
                {RefusalReason::Leaving, "leaving"},
                {RefusalReason::KeyMissing, "key-missing"},
                {RefusalReason::KeyInvalid, "key-invalid"},
                {RefusalReason::KeyReused, "key-reused"},
                {RefusalReason::KeyInProgress, "key-in-progress"},
                {RefusalReason::ClaimStoreUnavailable, "claim-store-unavailable"},
                {RefusalReason::ClaimUnaccounted, "claim-unaccounted"},
                {RefusalReason::AnswerTruncated, "answer-truncated"},
                {RefusalReason::BackendTimeout, "backend-timeout"},
                {RefusalReason::BodyTooLarge, "body-too-large"},
                {RefusalReason::MalformedRequest, "malformed-request"},
                {RefusalReason::Paused, "paused"},
        }}};

} // namespace

std::string_view toName(RefusalReason reason)
{
    return names.name(reason);
}

std::optional<RefusalReason> refusalReasonFromName(std::string_view name)
{
    return names.value(name);
}

} // namespace sardinehollow::policy
