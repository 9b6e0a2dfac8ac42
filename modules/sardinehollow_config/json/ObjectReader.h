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
 * Reads the fields of one JSON object and records every fault with its JSON pointer. After a fault
 * a method returns the default or the lowest allowed value, or an empty one, so that all faults of
 * a document are found at once.
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
    /** Reads an integer in [low, high]; required unless a fallback is given. */
    std::int64_t integer(const std::string &field, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /** Reads a number in [low, high]; required unless a fallback is given. */
    double number(const std::string &field, double low, double high,
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

    /** Records a fault of a field; an empty field name denotes the object itself. */
    void fault(const std::string &field, std::string message, std::string remedy);
    /** Records a fault for each field that has not been read, since it is unknown. */
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
