#include "sardinehollow_gateway/status/RetryReason.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::gateway {

namespace {

using Entry = std::pair<RetryReason, std::string_view>;

constexpr core::NameTable names {std::array {
        Entry {RetryReason::NotConnected, "not-connected"},
        Entry {RetryReason::NotRun, "not-run"},
        Entry {RetryReason::OtherServer, "other-server"},
        Entry {RetryReason::Broken, "broken"},
        Entry {RetryReason::InvalidResponse, "invalid-response"},
        Entry {RetryReason::ServerError, "server-error"},
}};

} // namespace

bool canHaveRun(RetryReason reason)
{
    return reason == RetryReason::Broken || reason == RetryReason::InvalidResponse
            || reason == RetryReason::ServerError;
}

std::string_view toName(RetryReason reason)
{
    return names.name(reason);
}

} // namespace sardinehollow::gateway
