#include "sardinehollow_load/results/ResultFile.h"

#include <Poco/Environment.h>
#include <Poco/JSON/Array.h>

#include <cmath>
#include <iomanip>
#include <sstream>

namespace sardinehollow::load {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr double medianQuantile = 0.5;
constexpr double tailQuantile = 0.99;

double rounded(double value)
{
    return std::round(value * 1000.0) / 1000.0;
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

Object::Ptr toJson(const LoadKind &kind, const KindResults &results)
{
    Object::Ptr row = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    row->set("kind", kind.workKind);
    row->set("rank", kind.rank);
    row->set("offered", results.offered());
    row->set("p50Ms", rounded(results.quantileMs(medianQuantile)));
    row->set("p99Ms", rounded(results.quantileMs(tailQuantile)));
    row->set("withinDeadline",
             rounded(share(results.count(RequestOutcome::InTime), results.offered())));
    row->set("triesPerRequest", rounded(share(results.tries(), results.offered())));
    for (std::size_t index = 0; index < requestOutcomeCount; ++index) {
        const auto outcome = static_cast<RequestOutcome>(index);
        row->set(std::string(toName(outcome)), results.count(outcome));
    }
    Object::Ptr reasons = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const auto &[reason, count] : results.reasons())
        reasons->set(reason, count);
    row->set("reasons", reasons);
    return row;
}

Object::Ptr findKindRow(const Object &result, const std::string &kind)
{
    const Array::Ptr rows = result.getArray("rows");
    for (std::size_t index = 0; index < rows->size(); ++index) {
        const Object::Ptr row = rows->getObject(static_cast<unsigned>(index));
        if (row->getValue<std::string>("kind") == kind)
            return row;
    }
    return {};
}

void appendMustBeZero(std::ostream &text, const Object &result)
{
    const Object::Ptr counts = result.getObject("mustBeZero");
    text << "must be 0:";
    for (const std::string &name : counts->getNames())
        text << " " << name << "=" << counts->getValue<std::uint64_t>(name);
    text << "\n";
}

} // namespace

Object::Ptr toResult(const Experiment &experiment, const RunDescription &description,
                     const std::vector<KindResults> &kinds, const ViolationCounts &violationCounts)
{
    Object::Ptr result = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    result->set("experiment", experiment.name);
    result->set("deployment", experiment.deployment);
    result->set("seed", description.seed);
    result->set("commit", description.commit);
    result->set("command", description.command);
    result->set("processors", Poco::Environment::processorCount());
    result->set("durationSeconds", experiment.durationSeconds);
    Array::Ptr rows = new Array;
    for (std::size_t index = 0; index < kinds.size(); ++index)
        rows->add(toJson(experiment.kinds[index], kinds[index]));
    result->set("rows", rows);
    Object::Ptr counts = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const auto &[name, count] : violationCounts)
        counts->set(name, count);
    result->set("mustBeZero", counts);
    return result;
}

std::string resultTable(const Object &result)
{
    std::ostringstream text;
    text << result.getValue<std::string>("experiment") << " (seed "
         << result.getValue<std::uint64_t>("seed") << ")\n"
         << std::left << std::setw(18) << "kind" << std::right << std::setw(9) << "offered"
         << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(10) << "in time"
         << std::setw(9) << "not run" << std::setw(9) << "unknown" << std::setw(10) << "no answer"
         << std::setw(7) << "tries\n";
    const Array::Ptr rows = result.getArray("rows");
    for (std::size_t index = 0; index < rows->size(); ++index) {
        const Object::Ptr row = rows->getObject(static_cast<unsigned>(index));
        text << std::left << std::setw(18) << row->getValue<std::string>("kind") << std::right
             << std::setw(9) << row->getValue<std::uint64_t>("offered") << std::fixed
             << std::setprecision(1) << std::setw(10) << row->getValue<double>("p50Ms")
             << std::setw(10) << row->getValue<double>("p99Ms") << std::setprecision(4)
             << std::setw(10) << row->getValue<double>("withinDeadline") << std::setw(9)
             << row->getValue<std::uint64_t>("notRun") << std::setw(9)
             << row->getValue<std::uint64_t>("unknown") << std::setw(10)
             << row->getValue<std::uint64_t>("noAnswer") << std::setprecision(2) << std::setw(6)
             << row->getValue<double>("triesPerRequest") << "\n";
    }
    appendMustBeZero(text, result);
    return text.str();
}

std::string comparisonTable(const Object &first, const Object &second)
{
    std::ostringstream text;
    text << "first:  " << first.getValue<std::string>("experiment") << " at "
         << first.getValue<std::string>("commit") << "\n"
         << "second: " << second.getValue<std::string>("experiment") << " at "
         << second.getValue<std::string>("commit") << "\n"
         << std::left << std::setw(18) << "kind" << std::setw(18) << "measure" << std::right
         << std::setw(12) << "first" << std::setw(12) << "second" << std::setw(9) << "ratio\n";
    const Array::Ptr rows = first.getArray("rows");
    for (std::size_t index = 0; index < rows->size(); ++index) {
        const Object::Ptr row = rows->getObject(static_cast<unsigned>(index));
        const std::string kind = row->getValue<std::string>("kind");
        const Object::Ptr other = findKindRow(second, kind);
        if (other.isNull())
            continue;
        for (const char *measure : {"p50Ms", "p99Ms", "withinDeadline", "triesPerRequest"}) {
            const double left = row->getValue<double>(measure);
            const double right = other->getValue<double>(measure);
            text << std::left << std::setw(18) << kind << std::setw(18) << measure << std::right
                 << std::fixed << std::setprecision(3) << std::setw(12) << left << std::setw(12)
                 << right << std::setw(8) << (left == 0 ? 0.0 : right / left) << "\n";
        }
    }
    appendMustBeZero(text, first);
    appendMustBeZero(text, second);
    return text.str();
}

} // namespace sardinehollow::load
