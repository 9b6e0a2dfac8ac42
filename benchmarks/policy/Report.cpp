#include "Report.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <iomanip>

namespace sardinehollow::bench {

namespace {

void printHeading(const BenchResult &result, std::ostream &output)
{
    output << "\n"
           << result.deployment << " / " << result.scenario << "\n"
           << std::left << std::setw(15) << "policy" << std::setw(8) << "rank" << std::right
           << std::setw(9) << "offered" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
           << std::setw(12) << "in deadline" << std::setw(10) << "goodput"
           << "\n";
}

void printRows(const BenchResult &result, std::ostream &output)
{
    for (const BenchResult::Row &row : result.rows) {
        output << std::left << std::setw(15) << result.policy << std::setw(8) << row.rank
               << std::right << std::setw(9) << row.offered << std::fixed << std::setprecision(1)
               << std::setw(10) << row.p50Ms << std::setw(10) << row.p99Ms << std::setprecision(4)
               << std::setw(12) << row.withinDeadline << std::setprecision(3) << std::setw(10)
               << row.goodputRatio << "\n";
    }
    if (result.drainSeconds >= 0.0)
        output << "  drained after " << std::setprecision(1) << result.drainSeconds << " s\n";
    for (const auto &[name, count] : result.refusals)
        output << "  refused: " << name << " " << count << "\n";
    for (const auto &[name, count] : result.mustBeZero) {
        if (count > 0)
            output << "  must be zero: " << name << " " << count << "\n";
    }
}

Poco::JSON::Object::Ptr toJson(const BenchResult &result, const BenchResult::Row &row)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("deployment", result.deployment);
    object->set("scenario", result.scenario);
    object->set("policy", result.policy);
    object->set("rank", row.rank);
    object->set("kind", row.kind);
    object->set("offered", row.offered);
    object->set("p50Ms", row.p50Ms);
    object->set("p99Ms", row.p99Ms);
    object->set("withinDeadline", row.withinDeadline);
    object->set("goodputRatio", row.goodputRatio);
    return object;
}

Poco::JSON::Object::Ptr toJson(const BenchResult &result, const std::string &name,
                               std::uint64_t count)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("deployment", result.deployment);
    object->set("scenario", result.scenario);
    object->set("policy", result.policy);
    object->set("name", name);
    object->set("count", count);
    return object;
}

} // namespace

void printTables(const std::vector<BenchResult> &results, std::ostream &output)
{
    std::string heading;
    for (const BenchResult &result : results) {
        const std::string next = result.deployment + "/" + result.scenario;
        if (next != heading)
            printHeading(result, output);
        heading = next;
        printRows(result, output);
    }
}

void writeJson(const std::vector<BenchResult> &results, std::uint64_t seed, std::ostream &output)
{
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    Poco::JSON::Array::Ptr counts = new Poco::JSON::Array;
    for (const BenchResult &result : results) {
        for (const BenchResult::Row &row : result.rows)
            rows->add(toJson(result, row));
        for (const auto &[name, count] : result.mustBeZero)
            counts->add(toJson(result, name, count));
    }
    Poco::JSON::Object document(Poco::JSON_PRESERVE_KEY_ORDER);
    document.set("seed", seed);
    document.set("rows", rows);
    document.set("mustBeZero", counts);
    document.stringify(output, 1);
    output << "\n";
}

} // namespace sardinehollow::bench
