#pragma once

#include "sardinehollow_policy/peers/PeerView.h"

#include <string>
#include <vector>

namespace sardinehollow::peer {

/**
 * Returns the live daemons of a failure domain in the order in which to call them: the designated
 * owner of its scope first, daemons that are leaving last.
 */
std::vector<std::string> claimCandidates(const policy::PeerView &view,
                                         const std::string &failureDomain);

} // namespace sardinehollow::peer
