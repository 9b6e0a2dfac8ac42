#include "sardinehollow_config/model/StoreOutageMode.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::config {

namespace {

constexpr core::NameTable names {std::array<std::pair<StoreOutageMode, std::string_view>, 2> {{
        {StoreOutageMode::Refuse, "refuse"},
        {StoreOutageMode::InMemory, "in-memory"},
}}};

} // namespace

std::string_view toName(StoreOutageMode mode)
{
    return names.name(mode);
}

std::optional<StoreOutageMode> storeOutageModeFromName(std::string_view name)
{
    return names.value(name);
}

} // namespace sardinehollow::config
