#include "sardinehollow_routing/selection/Selection.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::routing {

namespace {

constexpr core::NameTable names {std::array {
        std::pair {SelectionReason::NearHome, std::string_view("near-home")},
        std::pair {SelectionReason::FarHome, std::string_view("far-home")},
        std::pair {SelectionReason::Alternative, std::string_view("alternative")},
        std::pair {SelectionReason::NoServer, std::string_view("no-server")},
        std::pair {SelectionReason::Overloaded, std::string_view("overloaded")},
        std::pair {SelectionReason::MoveLimited, std::string_view("move-limited")},
        std::pair {SelectionReason::NoPermit, std::string_view("no-permit")},
}};

} // namespace

std::string_view toName(SelectionReason reason)
{
    return names.name(reason);
}

} // namespace sardinehollow::routing
