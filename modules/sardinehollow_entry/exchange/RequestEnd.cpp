#include "sardinehollow_entry/exchange/RequestEnd.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::entry {

namespace {

constexpr core::NameTable names {std::array<std::pair<RequestEnd, std::string_view>, 6> {{
        {RequestEnd::Complete, "complete"},
        {RequestEnd::Replayed, "replayed"},
        {RequestEnd::NotRun, "not-run"},
        {RequestEnd::Unknown, "unknown"},
        {RequestEnd::Cut, "cut"},
        {RequestEnd::CallerLeft, "caller-left"},
}}};

} // namespace

std::string_view toName(RequestEnd end)
{
    return names.name(end);
}

} // namespace sardinehollow::entry
