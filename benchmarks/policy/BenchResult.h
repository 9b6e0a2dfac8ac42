#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::bench {

/** Results of one policy in one scenario. */
struct BenchResult
{
    struct Row
    {
        std::string rank;
        std::string kind;
        std::uint64_t offered = 0;
        double p50Ms = 0.0;
        double p99Ms = 0.0;
        /** Fraction of the offered requests that got a complete response within their deadline. */
        double withinDeadline = 0.0;
        /**
         * Complete responses within the deadline in the measured window, divided by the number that
         * was possible in it: the offered requests or, if fewer, those that fit into the slots to
         * which the rank is entitled (all for the urgent rank, the floor for the others). The row
         * of the rank "all" uses slot time instead of requests, and all slots.
         */
        double goodputRatio = 0.0;
    };

    std::string deployment;
    std::string scenario;
    std::string policy;
    std::vector<Row> rows;
    /**
     * Time from the drain order until the drained region had no requests left; negative without a
     * drain.
     */
    double drainSeconds = -1.0;
    /** Violations of invariants by name; any count above 0 is a fault of the policy. */
    std::map<std::string, std::uint64_t> mustBeZero;
    /** Requests that failed at their callers, by rank and reason. */
    std::map<std::string, std::uint64_t> refusals;
};

} // namespace sardinehollow::bench
