#include "CommandSupport.h"
#include "Commands.h"
#include "InForceWait.h"
#include "StoreSession.h"
#include "sardinehollow_config/canonical/CanonicalJson.h"
#include "sardinehollow_config/diff/ConfigurationDiff.h"
#include "sardinehollow_config/parts/PartCodec.h"
#include "sardinehollow_configuration_store/edit/SubmissionId.h"

#include <iostream>

namespace sardinehollow::apps {

namespace {

using configuration_store::ConfigurationHead;

// A double represents every integer up to 2^53 (about 9.007e15) exactly.
constexpr double maximumGeneration = 9.0e15;
constexpr double maximumWaitSeconds = 3600;
constexpr std::size_t historyLimit = 20;

Poco::JSON::Object::Ptr toJson(const ConfigurationHead &head)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("generation", head.generation);
    object->set("digest", head.digest);
    object->set("submissionId", head.submissionId);
    object->set("author", head.author);
    object->set("message", head.message);
    return object;
}

core::Result<config::Configuration> loadInForce(configuration_store::ConfigurationStore &store)
{
    const auto stored = store.readHead();
    if (!stored)
        return tl::unexpected<core::Error>(stored.error());
    if (stored->head.generation == 0) {
        return core::failure(core::ErrorKind::NotFound, "no configuration was submitted yet",
                             "use 'sardinehollowctl submit'");
    }
    return store.load(stored->head);
}

void printChange(const config::Change &change)
{
    if (!change.before)
        std::cout << "+ " << change.path << ": " << *change.after << "\n";
    else if (!change.after)
        std::cout << "- " << change.path << ": " << *change.before << "\n";
    else
        std::cout << "~ " << change.path << ": " << *change.before << " -> " << *change.after
                  << "\n";
}

ExitCode reportAccepted(const Options &options, const ConfigurationHead &head)
{
    if (options.at("--json").asBool())
        printJson(*toJson(head));
    else
        std::cout << "accepted as generation " << head.generation << "\n";
    if (!options.at("--wait").asBool())
        return ExitCode::Done;
    const auto seconds = numberOption(options, "--timeout", 1, maximumWaitSeconds);
    if (!seconds)
        return ExitCode::Usage;
    return waitUntilInForce(splitList(textOption(options, "--daemons", "")), head.generation,
                            std::chrono::seconds(static_cast<std::int64_t>(*seconds)));
}

} // namespace

ExitCode validateCommand(const Options &options)
{
    ExitCode code = ExitCode::Done;
    const auto configuration = loadConfiguration(options.at("FILE").asString(), code);
    if (!configuration)
        return code;
    std::cout << "valid, digest " << config::digestOf(*configuration) << "\n";
    return ExitCode::Done;
}

ExitCode submitCommand(const Options &options)
{
    ExitCode code = ExitCode::Done;
    auto configuration = loadConfiguration(options.at("FILE").asString(), code);
    if (!configuration)
        return code;
    StoreSession session(options, configuration->deployment);
    configuration_store::Submission submission;
    submission.configuration = std::move(*configuration);
    submission.submissionId
            = textOption(options, "--submission-id", configuration_store::makeSubmissionId());
    submission.author = textOption(options, "--author", "");
    submission.message = textOption(options, "--message", "");
    if (options.at("--base").isString()) {
        const auto base = numberOption(options, "--base", 0, maximumGeneration);
        if (!base)
            return ExitCode::Usage;
        submission.baseGeneration = static_cast<std::uint64_t>(*base);
    }
    const auto accepted = session.configurations().submit(submission);
    if (!accepted)
        return reportError(accepted.error());
    return reportAccepted(options, *accepted);
}

ExitCode showCommand(const Options &options)
{
    StoreSession session(options, options.at("--deployment").asString());
    const auto configuration = loadInForce(session.configurations());
    if (!configuration)
        return reportError(configuration.error());
    std::cout << config::toCanonicalJson(*configuration);
    return ExitCode::Done;
}

ExitCode diffCommand(const Options &options)
{
    ExitCode code = ExitCode::Done;
    const auto wanted = loadConfiguration(options.at("FILE").asString(), code);
    if (!wanted)
        return code;
    StoreSession session(options, wanted->deployment);
    const auto inForce = loadInForce(session.configurations());
    if (!inForce)
        return reportError(inForce.error());
    const std::vector<config::Change> changes = config::compareConfigurations(*inForce, *wanted);
    for (const config::Change &change : changes)
        printChange(change);
    std::cout << changes.size() << " differences from generation " << inForce->generation << "\n";
    return ExitCode::Done;
}

ExitCode historyCommand(const Options &options)
{
    StoreSession session(options, options.at("--deployment").asString());
    const auto heads = session.configurations().history(historyLimit);
    if (!heads)
        return reportError(heads.error());
    for (const ConfigurationHead &head : *heads) {
        if (options.at("--json").asBool()) {
            printJson(*toJson(head));
            continue;
        }
        std::cout << "generation " << head.generation << " by "
                  << (head.author.empty() ? "unnamed" : head.author) << ": " << head.message
                  << "\n";
    }
    return ExitCode::Done;
}

} // namespace sardinehollow::apps
