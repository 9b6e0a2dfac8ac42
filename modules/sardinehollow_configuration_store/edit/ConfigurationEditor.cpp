#include "sardinehollow_configuration_store/edit/ConfigurationEditor.h"

#include "sardinehollow_config/canonical/CanonicalJson.h"
#include "sardinehollow_config/json/ConfigurationReader.h"
#include "sardinehollow_configuration_store/edit/SubmissionId.h"

namespace sardinehollow::configuration_store {

namespace {

constexpr int maximumAttempts = 5;

} // namespace

ConfigurationEditor::ConfigurationEditor(ConfigurationStore &store, std::string author,
                                         std::string message)
    : m_store(store)
    , m_author(std::move(author))
    , m_message(std::move(message))
{ }

core::Result<ConfigurationHead> ConfigurationEditor::apply(const Edit &edit)
{
    core::Result<ConfigurationHead> result = attempt(edit);
    for (int count = 1; count < maximumAttempts; ++count) {
        const bool conflict = !result && result.error().kind == core::ErrorKind::Conflict;
        if (!conflict)
            break;
        result = attempt(edit);
    }
    return result;
}

core::Result<ConfigurationHead> ConfigurationEditor::attempt(const Edit &edit)
{
    const core::Result<StoredHead> stored = m_store.readHead();
    if (!stored)
        return tl::unexpected<core::Error>(stored.error());
    if (stored->head.generation == 0) {
        return core::failure(core::ErrorKind::NotFound, "no configuration was submitted yet",
                             "use 'sardinehollowctl submit' first");
    }
    core::Result<config::Configuration> configuration
            = m_store.loadWithoutClientBlocks(stored->head);
    if (!configuration)
        return tl::unexpected<core::Error>(configuration.error());
    const std::vector<config::Site> sites = configuration->sites;
    const core::Result<bool> changed = edit(*configuration);
    if (!changed)
        return tl::unexpected<core::Error>(changed.error());
    if (!*changed)
        return stored->head;
    // The client blocks refer to sites but are not loaded, so they could not be adapted.
    if (configuration->sites != sites) {
        return core::failure(core::ErrorKind::InvalidInput, "an edit must not change the sites",
                             "use 'sardinehollowctl submit' with a complete configuration");
    }
    // The edited configuration is validated like a submitted file.
    tl::expected<config::Configuration, config::FaultList> checked
            = config::readConfiguration(config::toCanonicalJson(*configuration));
    if (!checked) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "the edited configuration is not valid: "
                                     + config::toText(checked.error()),
                             "correct the command's arguments");
    }
    Submission submission;
    submission.configuration = std::move(*checked);
    submission.keepsClientBlocks = true;
    submission.submissionId = makeSubmissionId();
    submission.author = m_author;
    submission.message = m_message;
    submission.baseGeneration = stored->head.generation;
    return m_store.submit(submission);
}

} // namespace sardinehollow::configuration_store
