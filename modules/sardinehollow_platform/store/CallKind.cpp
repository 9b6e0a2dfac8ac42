#include "sardinehollow_platform/store/CallKind.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::platform {

namespace {

constexpr core::NameTable names {std::array<std::pair<CallKind, std::string_view>, callKindCount> {{
        {CallKind::Range, "range"},
        {CallKind::Transaction, "transaction"},
        {CallKind::LeaseGrant, "lease-grant"},
        {CallKind::LeaseKeepAlive, "lease-keep-alive"},
        {CallKind::LeaseRevoke, "lease-revoke"},
        {CallKind::Watch, "watch"},
}}};

} // namespace

std::string_view toName(CallKind kind)
{
    return names.name(kind);
}

} // namespace sardinehollow::platform
