#include "sardinehollow_load/client/AnswerCheck.h"
#include "sardinehollow_load/results/ResultFile.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

TEST_CASE("Quantiles match the recorded latencies")
{
    load::KindResults results;
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
        load::RequestResult result;
        result.outcome = load::RequestOutcome::InTime;
        result.latency = std::chrono::milliseconds(milliseconds);
        results.record(result);
    }
    // Requests without an answer have no latency and must not lower the quantiles.
    load::RequestResult refused;
    refused.outcome = load::RequestOutcome::NotRun;
    refused.reason = "queue-full";
    results.record(refused);
    REQUIRE(results.quantileMs(0.5) == Approx(500).epsilon(0.05));
    REQUIRE(results.quantileMs(0.99) == Approx(990).epsilon(0.05));
    REQUIRE(results.offered() == 1001);
    REQUIRE(results.count(load::RequestOutcome::NotRun) == 1);
    REQUIRE(results.reasons().at("queue-full") == 1);
}

TEST_CASE("An answer counts as wrong only if it is neither the expected one nor a reported failure")
{
    struct AnswerCase
    {
        const char *failure;
        load::HttpAnswer answer;
        load::RequestOutcome outcome;
    };
    using load::RequestOutcome;
    const std::vector<AnswerCase> cases {
            {"the due answer", {200, true, "complete", "", "due"}, RequestOutcome::InTime},
            {"another body", {200, true, "complete", "", "other"}, RequestOutcome::WrongAnswer},
            {"a cut body", {200, true, "complete", "", "du"}, RequestOutcome::WrongAnswer},
            // Guards against a backend server's own failure, such as a run that the stand-in ends
            // at its deadline, being counted as a wrong answer.
            {"the server's own failure",
             {504, true, "complete", "", ""},
             RequestOutcome::ServerError},
            {"a failure without outcome", {500, true, "", "", ""}, RequestOutcome::WrongAnswer},
            {"a refusal", {503, true, "not-run", "queue-full", ""}, RequestOutcome::NotRun},
            {"an unknown outcome", {502, true, "unknown", "", ""}, RequestOutcome::Unknown},
            {"an answer to another request",
             {404, true, "complete", "", ""},
             RequestOutcome::WrongAnswer},
            {"no answer", {0, true, "", "", ""}, RequestOutcome::NoAnswer},
    };
    for (const AnswerCase &item : cases) {
        CAPTURE(item.failure);
        CHECK(load::classifyAnswer(item.answer, "due") == item.outcome);
    }
}

TEST_CASE("An invalid experiment file is rejected with all of its errors")
{
    const auto read = load::readExperiment(R"({"name": "x", "deployment": "y", "durationSeconds": 0,
        "kinds": [{"workKind": "a", "rank": "b", "method": "GET", "path": "/a",
                   "ratePerSecond": -1, "deadlineMs": 5}],
        "faults": [{"atSecond": 1, "action": "explode"}], "extra": true})");
    REQUIRE_FALSE(read);
    for (const char *pointer :
         {"/durationSeconds", "/kinds/0/ratePerSecond", "/faults/0/action", "/extra"})
        REQUIRE(read.error().message.find(pointer) != std::string::npos);
}
