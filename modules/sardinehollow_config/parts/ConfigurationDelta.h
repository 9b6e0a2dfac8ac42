#pragma once

#include "sardinehollow_config/parts/ConfigurationPart.h"
#include "sardinehollow_config/parts/TextEdit.h"

#include "sardinehollow_core/errors/Result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::config {

/** Returns the text of the part with the digest, or nullptr if it is not known. */
using PartLookup = std::function<const std::string *(const std::string &digest)>;

/** The difference between the parts of two configurations. */
struct ConfigurationDelta
{
    /** A run of consecutive parts that are kept, or one new part. */
    struct Run
    {
        /** Position and number of kept parts in the base; count is 0 for a new part. */
        std::size_t first = 0;
        std::size_t count = 0;
        /** A new part: its digest and the edits of the base part at position first. */
        std::string digest;
        std::vector<TextEdit> edits;
    };

    std::uint64_t baseGeneration = 0;
    std::vector<Run> runs;

    /** Compares parts; looks up the texts of base parts that new parts are encoded against. */
    static ConfigurationDelta between(std::uint64_t baseGeneration,
                                      const std::vector<std::string> &baseDigests,
                                      const std::vector<ConfigurationPart> &parts,
                                      const PartLookup &baseText);

    /**
     * Returns the parts after the change; kept parts have an empty text. Error InvalidInput if the
     * delta does not apply to the base.
     */
    core::Result<std::vector<ConfigurationPart>> apply(const std::vector<std::string> &baseDigests,
                                                       const PartLookup &baseText) const;

    std::string toJson() const;
    /** Error InvalidInput if the text is not the JSON of a delta. */
    static core::Result<ConfigurationDelta> fromJson(const std::string &text);
};

/** Returns the part that lists the digests of all others, one per line. */
ConfigurationPart makeManifest(const std::vector<std::string> &digests);
std::vector<std::string> readManifest(const std::string &text);

} // namespace sardinehollow::config
