#include "sardinehollow_load/client/AnswerCheck.h"

namespace sardinehollow::load {

namespace {

constexpr int statusOk = 200;
constexpr int lowestServerError = 500;
// Enough of a wrong body to recognise a problem document.
constexpr std::size_t shownBytes = 120;

} // namespace

RequestOutcome outcomeOf(const HttpAnswer &answer, const std::string &dueBody)
{
    if (answer.status == 0)
        return RequestOutcome::NoAnswer;
    if (answer.outcome == "not-run")
        return RequestOutcome::NotRun;
    if (answer.outcome == "unknown")
        return RequestOutcome::Unknown;
    if (answer.status == statusOk && answer.body == dueBody)
        return RequestOutcome::InTime;
    // A backend server ends runs that would miss their deadline with a status of its own.
    if (answer.status >= lowestServerError && answer.outcome == "complete")
        return RequestOutcome::ServerError;
    return RequestOutcome::WrongAnswer;
}

std::string difference(const HttpAnswer &answer, const std::string &dueBody)
{
    return "status " + std::to_string(answer.status) + ", outcome '" + answer.outcome
            + "', reason '" + answer.reason + "', " + std::to_string(answer.body.size())
            + " bytes where 200 and " + std::to_string(dueBody.size())
            + " were due; body starts with '" + answer.body.substr(0, shownBytes) + "'";
}

} // namespace sardinehollow::load
