#pragma once

#include <string>

namespace sardinehollow::configuration_store {

/** Returns a random UUID that identifies a submission. */
std::string makeSubmissionId();

} // namespace sardinehollow::configuration_store
