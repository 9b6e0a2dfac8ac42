#pragma once

#include "sardinehollow_load/client/HttpAnswer.h"
#include "sardinehollow_load/results/RequestOutcome.h"

#include <string>

namespace sardinehollow::load {

/** Tells what an answer means for its request; the body is the one that is due with status 200. */
RequestOutcome outcomeOf(const HttpAnswer &answer, const std::string &dueBody);

/** Describes what came in place of the answer that was due. */
std::string difference(const HttpAnswer &answer, const std::string &dueBody);

} // namespace sardinehollow::load
