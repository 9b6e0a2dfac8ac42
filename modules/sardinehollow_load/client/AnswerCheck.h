#pragma once

#include "sardinehollow_load/client/HttpAnswer.h"
#include "sardinehollow_load/results/RequestOutcome.h"

#include <string>

namespace sardinehollow::load {

/** Classifies the answer to a request; a status of 200 requires the expected body. */
RequestOutcome classifyAnswer(const HttpAnswer &answer, const std::string &expectedBody);

/** Describes how an answer differs from the expected one. */
std::string describeMismatch(const HttpAnswer &answer, const std::string &expectedBody);

} // namespace sardinehollow::load
