#pragma once

#include "sardinehollow_configuration_store/store/ConfigurationStore.h"

#include <functional>
#include <string>

namespace sardinehollow::configuration_store {

/**
 * Edits the configuration in force under optimistic concurrency control: an edit that conflicts
 * with the submission of another operator is repeated.
 */
class ConfigurationEditor
{
public:
    /**
     * Modifies a configuration that is loaded without its client blocks; must not change its sites.
     * Returns whether it changed anything, or an error.
     */
    using Edit = std::function<core::Result<bool>(config::Configuration &)>;

    ConfigurationEditor(ConfigurationStore &store, std::string author, std::string message);

    /**
     * Applies the edit to the newest configuration and submits the result. After a conflict the
     * edit is applied to the configuration that was accepted instead, in at most five attempts.
     * Returns the head in force. Errors: those of ConfigurationStore::submit, InvalidInput if the
     * edited configuration is not valid, NotFound if none was submitted yet.
     */
    core::Result<ConfigurationHead> apply(const Edit &edit);

private:
    core::Result<ConfigurationHead> attempt(const Edit &edit);

    ConfigurationStore &m_store;
    const std::string m_author;
    const std::string m_message;
};

} // namespace sardinehollow::configuration_store
