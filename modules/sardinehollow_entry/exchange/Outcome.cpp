#include "sardinehollow_entry/exchange/Outcome.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::entry {

namespace {

constexpr core::NameTable names {std::array<std::pair<Outcome, std::string_view>, 3> {{
        {Outcome::Complete, "complete"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
}}};

} // namespace

std::string_view toName(Outcome outcome)
{
    return names.name(outcome);
}

} // namespace sardinehollow::entry
