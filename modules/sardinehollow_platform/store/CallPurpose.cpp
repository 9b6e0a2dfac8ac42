#include "sardinehollow_platform/store/CallPurpose.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::platform {

namespace {

constexpr core::NameTable names {
        std::array<std::pair<CallPurpose, std::string_view>, callPurposeCount> {{
                {CallPurpose::Configuration, "configuration"},
                {CallPurpose::Claim, "claim"},
                {CallPurpose::Epoch, "epoch"},
                {CallPurpose::Operator, "operator"},
                {CallPurpose::Servers, "servers"},
                {CallPurpose::Entries, "entries"},
        }}};

} // namespace

std::string_view toName(CallPurpose purpose)
{
    return names.name(purpose);
}

} // namespace sardinehollow::platform
