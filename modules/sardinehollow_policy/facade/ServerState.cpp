#include "sardinehollow_policy/facade/ServerState.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::policy {

namespace {

constexpr core::NameTable names {std::array<std::pair<ServerState, std::string_view>,
                                            static_cast<std::size_t>(ServerState::Count)> {{
        {ServerState::Serving, "serving"},
        {ServerState::NotOwned, "not-owned"},
        {ServerState::HoldOff, "hold-off"},
        {ServerState::Leaving, "leaving"},
        {ServerState::Drained, "drained"},
        {ServerState::Avoided, "avoided"},
        {ServerState::Unreachable, "unreachable"},
}}};

} // namespace

std::string_view toName(ServerState state)
{
    return names.name(state);
}

} // namespace sardinehollow::policy
