#include "sardinehollow_gateway/status/DenialReason.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::gateway {

namespace {

using Entry = std::pair<DenialReason, std::string_view>;

constexpr core::NameTable names {std::array {
        Entry {DenialReason::NoRoute, "no-route"},
        Entry {DenialReason::MissingKey, "missing-key"},
        Entry {DenialReason::UnknownKey, "unknown-key"},
        Entry {DenialReason::Malformed, "malformed"},
        Entry {DenialReason::HeaderTooLarge, "header-too-large"},
        Entry {DenialReason::BodyTooLarge, "body-too-large"},
}};

} // namespace

std::string_view toName(DenialReason reason)
{
    return names.name(reason);
}

} // namespace sardinehollow::gateway
