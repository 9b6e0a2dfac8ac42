#include "sardinehollow_load/client/AnswerCheck.h"

namespace sardinehollow::load {

namespace {

constexpr int statusOk = 200;
constexpr int lowestServerError = 500;
// Length of the excerpt of a wrong body; enough to recognise a problem document.
constexpr std::size_t bodyExcerptBytes = 120;

} // namespace

RequestOutcome classifyAnswer(const HttpAnswer &answer, const std::string &expectedBody)
{
    if (answer.status == 0)
        return RequestOutcome::NoAnswer;
    if (answer.outcome == "not-run")
        return RequestOutcome::NotRun;
    if (answer.outcome == "unknown")
        return RequestOutcome::Unknown;
    if (answer.status == statusOk && answer.body == expectedBody)
        return RequestOutcome::InTime;
    // A backend server answers runs that would miss their deadline with an error status of its own.
    if (answer.status >= lowestServerError && answer.outcome == "complete")
        return RequestOutcome::ServerError;
    return RequestOutcome::WrongAnswer;
}

std::string describeMismatch(const HttpAnswer &answer, const std::string &expectedBody)
{
    return "status " + std::to_string(answer.status) + ", outcome '" + answer.outcome
            + "', reason '" + answer.reason + "', " + std::to_string(answer.body.size())
            + " bytes; expected status 200 and " + std::to_string(expectedBody.size())
            + " bytes; body starts with '" + answer.body.substr(0, bodyExcerptBytes) + "'";
}

} // namespace sardinehollow::load
