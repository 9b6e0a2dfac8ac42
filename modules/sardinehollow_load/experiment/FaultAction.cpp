#include "sardinehollow_load/experiment/FaultAction.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::load {

namespace {

constexpr core::NameTable names {std::array<std::pair<FaultAction, std::string_view>, 4> {{
        {FaultAction::Signal, "signal"},
        {FaultAction::Standin, "standin"},
        {FaultAction::Drain, "drain"},
        {FaultAction::Shift, "shift"},
}}};

} // namespace

std::string_view toName(FaultAction action)
{
    return names.name(action);
}

std::optional<FaultAction> faultActionFromName(std::string_view name)
{
    return names.value(name);
}

} // namespace sardinehollow::load
