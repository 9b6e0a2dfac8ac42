#pragma once

#include <optional>
#include <string_view>

namespace sardinehollow::config {

/** Handling of non-idempotent requests while the platform's store cannot record their claims. */
enum class StoreOutageMode {
    /** Requests are refused and reported as not run. */
    Refuse,
    /** Requests with a scoped key run; their claims are kept in memory until the store recovers. */
    InMemory,
};

std::string_view toName(StoreOutageMode mode);
std::optional<StoreOutageMode> storeOutageModeFromName(std::string_view name);

} // namespace sardinehollow::config
