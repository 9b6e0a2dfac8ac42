#include "CommandSupport.h"
#include "Commands.h"
#include "StoreSession.h"
#include "sardinehollow_configuration_store/edit/ConfigurationEditor.h"
#include "sardinehollow_operator/edits/ConfigurationEdits.h"

#include <iostream>

namespace sardinehollow::apps {

namespace {

using configuration_store::ConfigurationEditor;

constexpr double maximumStepSeconds = 86'400;

ExitCode applyEdit(const Options &options, const std::string &defaultMessage,
                   const ConfigurationEditor::Edit &edit)
{
    StoreSession session(options, options.at("--deployment").asString());
    ConfigurationEditor editor(session.configurations(), textOption(options, "--author", ""),
                               textOption(options, "--message", defaultMessage));
    const auto head = editor.apply(edit);
    if (!head)
        return reportError(head.error());
    std::cout << "generation " << head->generation << " holds it\n";
    return ExitCode::Done;
}

std::optional<config::Shift> readShift(const Options &options)
{
    config::Shift shift;
    shift.name = options.at("NAME").asString();
    shift.fromRegion = textOption(options, "--from", "");
    shift.workKinds = splitList(textOption(options, "--kinds", ""));
    const auto fraction = numberOption(options, "--fraction", 0.0, 1.0);
    const auto step = numberOption(options, "--step", 0.001, 1.0);
    const auto interval = numberOption(options, "--interval", 0, maximumStepSeconds);
    if (!fraction || !step || !interval)
        return std::nullopt;
    shift.fraction = *fraction;
    shift.stepFraction = *step;
    shift.stepInterval = std::chrono::seconds(static_cast<std::int64_t>(*interval));
    for (const std::string &text : splitList(textOption(options, "--to", ""))) {
        const auto destination = op::parseDestination(text);
        if (!destination) {
            std::cerr << destination.error().text() << "\n";
            return std::nullopt;
        }
        shift.destinations.push_back(*destination);
    }
    return shift;
}

} // namespace

ExitCode drainCommand(const Options &options)
{
    const auto target = config::drainTargetFromName(options.at("TARGET").asString());
    if (!target) {
        std::cerr << "unknown target; use vm, backend-server, failure-domain or region\n";
        return ExitCode::Usage;
    }
    const std::string name = options.at("NAME").asString();
    const bool undo = options.at("--undo").asBool();
    const std::string what = std::string(config::toName(*target)) + " " + name;
    return applyEdit(options, (undo ? "end drain of " : "drain ") + what,
                     [&](config::Configuration &configuration) -> core::Result<bool> {
                         return undo ? op::removeDrain(configuration, *target, name)
                                     : op::addDrain(configuration, *target, name);
                     });
}

ExitCode shiftCommand(const Options &options)
{
    const std::string name = options.at("NAME").asString();
    if (options.at("--undo").asBool()) {
        return applyEdit(options, "end shift " + name,
                         [&name](config::Configuration &configuration) -> core::Result<bool> {
                             return op::removeShift(configuration, name);
                         });
    }
    const std::optional<config::Shift> shift = readShift(options);
    if (!shift)
        return ExitCode::Usage;
    return applyEdit(options, "shift " + name,
                     [&shift](config::Configuration &configuration) -> core::Result<bool> {
                         op::putShift(configuration, *shift);
                         return true;
                     });
}

} // namespace sardinehollow::apps
