#include "sardinehollow_load/experiment/Experiment.h"

#include "sardinehollow_config/json/JsonDocument.h"
#include "sardinehollow_config/json/ObjectReader.h"

#include <sstream>

namespace sardinehollow::load {

namespace {

using config::ObjectReader;

constexpr double maximumSeconds = 3600;
constexpr double maximumRate = 100'000;

LoadKind readKind(ObjectReader &reader)
{
    LoadKind kind;
    kind.workKind = reader.name("workKind");
    kind.rank = reader.name("rank");
    kind.method = reader.text("method");
    kind.path = reader.text("path");
    kind.ratePerSecond = reader.number("ratePerSecond", 0, maximumRate);
    kind.deadline = std::chrono::milliseconds(reader.integer("deadlineMs", 1, 3'600'000));
    kind.responseBytes
            = static_cast<std::uint64_t>(reader.integer("responseBytes", 1, 1 << 30U, 256));
    return kind;
}

Surge readSurge(ObjectReader &reader)
{
    Surge surge;
    surge.workKind = reader.name("workKind");
    surge.factor = reader.number("factor", 0, 1000);
    surge.startSecond = reader.number("startSecond", 0, maximumSeconds);
    surge.endSecond = reader.number("endSecond", 0, maximumSeconds);
    return surge;
}

ScheduledFault readFault(ObjectReader &reader)
{
    ScheduledFault fault;
    fault.atSecond = reader.number("atSecond", 0, maximumSeconds);
    const auto action = faultActionFromName(reader.text("action"));
    if (!action)
        reader.fault("action", "is not a known action", "use signal, standin, drain or shift");
    fault.action = action.value_or(FaultAction::Standin);
    fault.target = reader.optionalText("target", "");
    fault.signal = reader.optionalText("signal", "");
    fault.drainTarget = reader.optionalText("drainTarget", "");
    fault.undo = reader.boolean("undo", false);
    fault.fromRegion = reader.optionalText("fromRegion", "");
    fault.fraction = reader.number("fraction", 0, 1, 0);
    fault.destinations = reader.texts("destinations", false);
    const Poco::JSON::Object::Ptr switches = reader.rawObject("switches");
    if (!switches.isNull()) {
        std::ostringstream text;
        switches->stringify(text);
        fault.switches = text.str();
    }
    return fault;
}

} // namespace

core::Result<Experiment> readExperiment(const std::string &text)
{
    config::FaultList faults;
    Experiment experiment;
    const Poco::JSON::Object::Ptr object = config::parseJsonObject(text, faults);
    if (!object.isNull()) {
        ObjectReader reader(object, "", faults);
        experiment.name = reader.name("name");
        experiment.deployment = reader.name("deployment");
        experiment.durationSeconds = reader.number("durationSeconds", 1, maximumSeconds);
        experiment.callers = static_cast<std::uint32_t>(reader.integer("callers", 1, 100'000, 300));
        experiment.threads = static_cast<std::uint32_t>(reader.integer("threads", 1, 2000, 400));
        reader.objects("kinds", true, [&experiment](ObjectReader &element) {
            experiment.kinds.push_back(readKind(element));
        });
        reader.objects("surges", false, [&experiment](ObjectReader &element) {
            experiment.surges.push_back(readSurge(element));
        });
        reader.objects("faults", false, [&experiment](ObjectReader &element) {
            experiment.faults.push_back(readFault(element));
        });
        reader.finish();
    }
    if (!faults.empty()) {
        return core::failure(core::ErrorKind::InvalidInput, config::toText(faults),
                             "correct the experiment file");
    }
    return experiment;
}

} // namespace sardinehollow::load
