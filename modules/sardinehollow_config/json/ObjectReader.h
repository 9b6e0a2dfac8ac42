#pragma once

#include "sardinehollow_config/json/Fault.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sardinehollow::config {

/**
 * Reads the fields of one JSON object and records every fault with its JSON pointer. Reading
 * continues after a fault, so that all faults of a document are found at once: a faulty number or
 * boolean is read as the fallback, or as the minimum if there is none, a faulty string as an empty
 * one (also by optionalText()), and a faulty array element is skipped. name() returns an invalid
 * name unchanged.
 */
class ObjectReader
{
public:
    using ElementReader = std::function<void(ObjectReader &)>;

    ObjectReader(Poco::JSON::Object::Ptr object, std::string pointer, FaultList &faults);

    /** Reads a required string that is not empty. */
    std::string text(const std::string &field);
    /**
     * Reads a required name: 1 to 64 lower-case letters, digits, '-' and '.', beginning with a
     * letter or digit.
     */
    std::string name(const std::string &field);
    std::string optionalText(const std::string &field, const std::string &fallback);
    /** Reads an integer in [minimum, maximum]; required unless a fallback is given. */
    std::int64_t integer(const std::string &field, std::int64_t minimum, std::int64_t maximum,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /** Reads a number in [minimum, maximum]; required unless a fallback is given. */
    double number(const std::string &field, double minimum, double maximum,
                  std::optional<double> fallback = std::nullopt);
    bool boolean(const std::string &field, bool fallback);
    /** Reads an array of strings that are not empty; an absent array is empty. */
    std::vector<std::string> texts(const std::string &field, bool required);
    /** Calls the reader for each object of an array; an absent array is empty. */
    void objects(const std::string &field, bool required, const ElementReader &reader);
    /** Calls the reader for a nested object, if it is present. */
    void object(const std::string &field, const ElementReader &reader);
    /** Returns a nested object without reading its fields; a null pointer if it is absent. */
    Poco::JSON::Object::Ptr rawObject(const std::string &field);
    bool has(const std::string &field) const;

    /**
     * Records a fault of a field, which may be a path such as "methods/0"; an empty field name
     * denotes the object itself.
     */
    void fault(const std::string &field, std::string message, std::string remedy);
    /**
     * Reports each field that no method has read as unknown. Call after all fields have been read;
     * nested readers are finished automatically.
     */
    void finish();

    const std::string &pointer() const { return m_pointer; }
    FaultList &faults() { return m_faults; }

private:
    Poco::Dynamic::Var readField(const std::string &field);
    Poco::JSON::Array::Ptr array(const std::string &field, bool required);
    void reportMissing(const std::string &field, const std::string &expected);

    Poco::JSON::Object::Ptr m_object;
    std::string m_pointer;
    FaultList &m_faults;
    std::set<std::string> m_readFields;
};

} // namespace sardinehollow::config
