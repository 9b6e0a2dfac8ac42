#include "sardinehollow_policy/facade/DecisionKind.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::policy {

namespace {

constexpr core::NameTable names {std::array<std::pair<DecisionKind, std::string_view>, 5> {{
        {DecisionKind::Dispatch, "dispatch"},
        {DecisionKind::Forward, "forward"},
        {DecisionKind::Hold, "hold"},
        {DecisionKind::Refuse, "refuse"},
        {DecisionKind::Finish, "finish"},
}}};

} // namespace

std::string_view toName(DecisionKind kind)
{
    return names.name(kind);
}

} // namespace sardinehollow::policy
