#include "sardinehollow_config/model/DrainTarget.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::config {

namespace {

constexpr core::NameTable names {std::array<std::pair<DrainTarget, std::string_view>, 4> {{
        {DrainTarget::Vm, "vm"},
        {DrainTarget::BackendServer, "backend-server"},
        {DrainTarget::FailureDomain, "failure-domain"},
        {DrainTarget::Region, "region"},
}}};

} // namespace

std::string_view toName(DrainTarget target)
{
    return names.name(target);
}

std::optional<DrainTarget> drainTargetFromName(std::string_view name)
{
    return names.value(name);
}

} // namespace sardinehollow::config
