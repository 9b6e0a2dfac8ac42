#include "sardinehollow_configuration_store/store/ConfigurationStore.h"

#include "sardinehollow_config/parts/ConfigurationDelta.h"
#include "sardinehollow_config/parts/PartCodec.h"
#include "sardinehollow_core/hash/Sha256.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace sardinehollow::configuration_store {

namespace {

// A delta is part of the head, which is sent to every relay and from there to every daemon. After
// larger changes daemons load the changed parts instead.
constexpr std::size_t maximumDeltaBytes = 8 * 1024;
constexpr std::size_t maximumDeltaParts = 16;
constexpr int partWriteAttempts = 4;

// Bounds the size of the store. Covers about an hour and a half at 3,600 changes a day.
constexpr std::uint64_t retainedGenerations = 200;

core::Error withRemedy(core::Error error, std::string remedy)
{
    error.remedy = std::move(remedy);
    return error;
}

} // namespace

ConfigurationStore::ConfigurationStore(platform::KeyValueStore &store,
                                       const std::string &deployment, platform::CallPurpose purpose)
    : m_store(store)
    , m_keys(deployment)
    , m_purpose(purpose)
    , m_pruner(store, purpose, m_keys, retainedGenerations)
{ }

std::string ConfigurationStore::headKey() const
{
    return m_keys.head();
}

core::Result<StoredHead> ConfigurationStore::readHead()
{
    const core::Result<platform::RangeResult> found
            = m_store.range(m_purpose, m_keys.head(), false);
    if (!found)
        return tl::unexpected<core::Error>(found.error());
    StoredHead stored;
    stored.storeRevision = found->revision;
    if (found->keyValues.empty())
        return stored;
    const core::Result<ConfigurationHead> head
            = ConfigurationHead::fromJson(found->keyValues.front().value);
    if (!head)
        return tl::unexpected<core::Error>(head.error());
    stored.head = *head;
    stored.modRevision = found->keyValues.front().modRevision;
    return stored;
}

core::Result<std::vector<std::string>>
ConfigurationStore::readParts(const std::vector<std::string> &digests)
{
    std::vector<std::string> texts;
    for (const std::string &digest : digests) {
        const core::Result<platform::RangeResult> found
                = m_store.range(m_purpose, m_keys.part(digest), false);
        if (!found)
            return tl::unexpected<core::Error>(found.error());
        const bool intact = !found->keyValues.empty()
                && core::sha256Hex(found->keyValues.front().value) == digest;
        if (!intact) {
            return core::failure(core::ErrorKind::NotFound,
                                 "part " + digest + " is missing or damaged in the store",
                                 "submit the configuration again");
        }
        texts.push_back(found->keyValues.front().value);
    }
    return texts;
}

core::Result<config::Configuration> ConfigurationStore::load(const ConfigurationHead &head)
{
    const core::Result<std::vector<std::string>> digests = readManifest(head);
    if (!digests)
        return tl::unexpected<core::Error>(digests.error());
    return join(head, *digests);
}

core::Result<config::Configuration>
ConfigurationStore::loadWithoutClientBlocks(const ConfigurationHead &head)
{
    core::Result<std::vector<std::string>> digests = readManifest(head);
    if (!digests)
        return tl::unexpected<core::Error>(digests.error());
    digests->resize(std::min<std::size_t>(digests->size(), 1));
    return join(head, *digests);
}

core::Result<std::vector<std::string>>
ConfigurationStore::readManifest(const ConfigurationHead &head)
{
    const core::Result<std::vector<std::string>> manifest = readParts({head.manifest});
    if (!manifest)
        return tl::unexpected<core::Error>(manifest.error());
    return config::readManifest(manifest->front());
}

core::Result<config::Configuration>
ConfigurationStore::join(const ConfigurationHead &head, const std::vector<std::string> &digests)
{
    const core::Result<std::vector<std::string>> texts = readParts(digests);
    if (!texts)
        return tl::unexpected<core::Error>(texts.error());
    tl::expected<config::Configuration, config::FaultList> joined = config::joinParts(*texts);
    if (!joined) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "the stored configuration is not valid: "
                                     + config::toText(joined.error()),
                             "submit a corrected configuration");
    }
    joined->generation = head.generation;
    return std::move(*joined);
}

core::Result<std::vector<ConfigurationHead>> ConfigurationStore::history(std::size_t limit)
{
    const core::Result<platform::RangeResult> found
            = m_store.range(m_purpose, m_keys.historyPrefix(), true);
    if (!found)
        return tl::unexpected<core::Error>(found.error());
    std::vector<ConfigurationHead> heads;
    for (auto entry = found->keyValues.rbegin(); entry != found->keyValues.rend(); ++entry) {
        const core::Result<ConfigurationHead> head = ConfigurationHead::fromJson(entry->value);
        if (!head || heads.size() >= limit)
            continue;
        heads.push_back(*head);
    }
    return heads;
}

core::Result<ConfigurationHead> ConfigurationStore::submit(const Submission &submission)
{
    const core::Result<StoredHead> current = readHead();
    if (!current)
        return tl::unexpected<core::Error>(current.error());
    // A submission that is sent twice in a row, for example by a script, is accepted only once.
    if (current->head.submissionId == submission.submissionId)
        return current->head;
    const std::uint64_t base = submission.baseGeneration.value_or(current->head.generation);
    if (base != current->head.generation)
        return conflict(current->head);

    ConfigurationHead head;
    head.generation = base + 1;
    head.submissionId = submission.submissionId;
    head.author = submission.author;
    head.message = submission.message;
    if (const core::Result<void> written = writeParts(submission, current->head, head); !written)
        return tl::unexpected<core::Error>(written.error());

    const core::Result<platform::TransactionResult> accepted
            = m_store.transact(m_purpose, {{m_keys.head(), current->modRevision}},
                               {{m_keys.head(), head.toJson(), 0},
                                {m_keys.history(head.generation), head.toJson(), 0}});
    if (accepted && accepted->succeeded) {
        m_pruner.prune(head.generation);
        return head;
    }
    if (!accepted && accepted.error().kind != core::ErrorKind::ResultUnknown)
        return tl::unexpected<core::Error>(accepted.error());
    return resolveOutcome(head);
}

core::Result<void> ConfigurationStore::writeParts(const Submission &submission,
                                                  const ConfigurationHead &base,
                                                  ConfigurationHead &head)
{
    std::vector<std::string> baseDigests;
    if (base.generation > 0) {
        core::Result<std::vector<std::string>> read = readManifest(base);
        if (!read)
            return tl::unexpected<core::Error>(read.error());
        baseDigests = std::move(*read);
    }
    std::vector<config::ConfigurationPart> parts = config::splitIntoParts(submission.configuration);
    if (submission.keepsClientBlocks) {
        for (std::size_t index = 1; index < baseDigests.size(); ++index)
            parts.push_back({baseDigests[index], {}});
    }
    std::vector<std::string> digests;
    const std::unordered_set<std::string> stored(baseDigests.begin(), baseDigests.end());
    std::size_t changed = 0;
    for (const config::ConfigurationPart &part : parts) {
        digests.push_back(part.digest);
        if (stored.find(part.digest) != stored.end())
            continue;
        ++changed;
        if (const core::Result<void> written = writePart(part); !written)
            return written;
    }
    const config::ConfigurationPart manifest = config::makeManifest(digests);
    head.manifest = manifest.digest;
    head.digest = manifest.digest;
    if (base.generation > 0 && changed <= maximumDeltaParts)
        head.delta = makeDelta(base.generation, baseDigests, parts);
    return writePart(manifest);
}

core::Result<void> ConfigurationStore::writePart(const config::ConfigurationPart &part)
{
    const std::string key = m_keys.part(part.digest);
    // A part that is stored already is written again, which raises its revision and so tells
    // HistoryPruner that it may be in use. A write whose reply was lost is repeated, since the head
    // must not refer to a missing part.
    core::Result<platform::TransactionResult> written = platform::TransactionResult();
    for (int attempt = 0; attempt < partWriteAttempts; ++attempt) {
        written = m_store.transact(m_purpose, {}, {{key, part.text, 0}});
        if (written)
            return {};
        if (written.error().kind != core::ErrorKind::ResultUnknown)
            break;
    }
    return tl::unexpected<core::Error>(
            withRemedy(written.error(),
                       "the submission was not accepted; submit again when the store responds"));
}

std::string ConfigurationStore::makeDelta(std::uint64_t baseGeneration,
                                          const std::vector<std::string> &baseDigests,
                                          const std::vector<config::ConfigurationPart> &parts)
{
    std::map<std::string, std::string> texts;
    const auto lookup = [this, &texts](const std::string &digest) -> const std::string * {
        if (const auto found = texts.find(digest); found != texts.end())
            return &found->second;
        core::Result<std::vector<std::string>> read = readParts({digest});
        return read ? &(texts[digest] = std::move(read->front())) : nullptr;
    };
    std::string delta
            = config::ConfigurationDelta::between(baseGeneration, baseDigests, parts, lookup)
                      .toJson();
    return delta.size() <= maximumDeltaBytes ? delta : std::string();
}

core::Result<ConfigurationHead>
ConfigurationStore::resolveOutcome(const ConfigurationHead &submitted)
{
    const core::Result<platform::RangeResult> recorded
            = m_store.range(m_purpose, m_keys.history(submitted.generation), false);
    if (!recorded) {
        return core::failure(core::ErrorKind::ResultUnknown,
                             "the store's reply was lost and reading back failed: "
                                     + recorded.error().message,
                             "run the same submit with --submission-id " + submitted.submissionId);
    }
    if (recorded->keyValues.empty()) {
        return core::failure(core::ErrorKind::Unreachable, "the submission was not accepted",
                             "submit again");
    }
    const core::Result<ConfigurationHead> head
            = ConfigurationHead::fromJson(recorded->keyValues.front().value);
    if (!head)
        return tl::unexpected<core::Error>(head.error());
    if (head->submissionId == submitted.submissionId)
        return *head;
    return conflict(*head);
}

tl::unexpected<core::Error> ConfigurationStore::conflict(const ConfigurationHead &current) const
{
    return core::failure(
            core::ErrorKind::Conflict,
            "generation " + std::to_string(current.generation) + " by "
                    + (current.author.empty() ? "an unnamed operator" : current.author)
                    + " was accepted first: " + current.message,
            "compare with 'sardinehollowctl diff', merge, and submit with that generation as base");
}

} // namespace sardinehollow::configuration_store
