#pragma once

#include "sardinehollow_core/errors/Result.h"

#include <cstdint>
#include <string>

namespace sardinehollow::configuration_store {

/** The record that identifies an accepted configuration; the parts are stored separately. */
struct ConfigurationHead
{
    /** Version number in order of acceptance, beginning with 1. */
    std::uint64_t generation = 0;
    /** Digest of the whole configuration (config::digestOf). */
    std::string digest;
    /** Chosen by the submitter; shows after a lost reply whether the submission was accepted. */
    std::string submissionId;
    std::string author;
    std::string message;
    /** Digest of the part that lists the digests of all others (config::makeManifest). */
    std::string manifest;
    /** Delta from the previous generation as JSON (config::ConfigurationDelta); empty if large. */
    std::string delta;

    bool operator==(const ConfigurationHead &) const = default;

    std::string toJson() const;
    /** Error InvalidInput if the text is not the JSON of a head. */
    static core::Result<ConfigurationHead> fromJson(const std::string &text);
};

} // namespace sardinehollow::configuration_store
