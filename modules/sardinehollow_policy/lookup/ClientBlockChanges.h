#pragma once

#include "sardinehollow_config/model/ClientBlock.h"

#include <optional>
#include <vector>

namespace sardinehollow::policy {

/**
 * Returns the prefixes that were added, removed or given another site. Returns nothing if a full
 * rebuild of the table is needed because a list is not sorted by prefix, or is cheaper because over
 * a tenth of the blocks differ.
 */
std::optional<std::vector<core::IpPrefix>>
clientBlockChanges(const std::vector<config::ClientBlock> &before,
                   const std::vector<config::ClientBlock> &after);

} // namespace sardinehollow::policy
