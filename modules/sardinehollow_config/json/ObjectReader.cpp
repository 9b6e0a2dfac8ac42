#include "sardinehollow_config/json/ObjectReader.h"

#include <algorithm>

namespace sardinehollow::config {

namespace {

// RFC 6901 reserves '~' and '/' within a reference token.
std::string escapeToken(const std::string &token)
{
    std::string escaped;
    for (const char character : token) {
        if (character == '~')
            escaped += "~0";
        else if (character == '/')
            escaped += "~1";
        else
            escaped += character;
    }
    return escaped;
}

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isName(const std::string &text)
{
    constexpr std::size_t maximumLength = 64;
    const bool valid = std::all_of(text.begin(), text.end(), [](char character) {
        return isLetterOrDigit(character) || character == '-' || character == '.';
    });
    return valid && text.size() <= maximumLength && isLetterOrDigit(text.front());
}

std::string rangeText(double minimum, double maximum)
{
    return "from " + Poco::Dynamic::Var(minimum).convert<std::string>() + " to "
            + Poco::Dynamic::Var(maximum).convert<std::string>();
}

} // namespace

ObjectReader::ObjectReader(Poco::JSON::Object::Ptr object, std::string pointer, FaultList &faults)
    : m_object(std::move(object))
    , m_pointer(std::move(pointer))
    , m_faults(faults)
{ }

std::string ObjectReader::text(const std::string &field)
{
    const Poco::Dynamic::Var value = readField(field);
    if (value.isEmpty()) {
        reportMissing(field, "a text");
        return {};
    }
    if (!value.isString() || value.extract<std::string>().empty()) {
        fault(field, "is not a text or is empty", "give a text of at least one character");
        return {};
    }
    return value.extract<std::string>();
}

std::string ObjectReader::name(const std::string &field)
{
    std::string value = text(field);
    if (!value.empty() && !isName(value)) {
        // Names are used in store keys, metric labels and claim scopes.
        fault(field, "is not a usable name",
              "give 1 to 64 lower-case letters, digits, '-' or '.', beginning with a letter or "
              "digit");
    }
    return value;
}

std::string ObjectReader::optionalText(const std::string &field, const std::string &fallback)
{
    return has(field) ? text(field) : fallback;
}

std::int64_t ObjectReader::integer(const std::string &field, std::int64_t minimum,
                                   std::int64_t maximum, std::optional<std::int64_t> fallback)
{
    const Poco::Dynamic::Var value = readField(field);
    const std::string range
            = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (value.isEmpty()) {
        if (!fallback)
            reportMissing(field, range);
        return fallback.value_or(minimum);
    }
    std::int64_t number = 0;
    bool valid = value.isInteger() && !value.isBoolean();
    if (valid) {
        try {
            number = value.convert<std::int64_t>();
        } catch (const Poco::Exception &) {
            valid = false;
        }
    }
    if (!valid || number < minimum || number > maximum) {
        fault(field, "is not " + range, "give " + range);
        return fallback.value_or(minimum);
    }
    return number;
}

double ObjectReader::number(const std::string &field, double minimum, double maximum,
                            std::optional<double> fallback)
{
    const Poco::Dynamic::Var value = readField(field);
    const std::string range = "a number " + rangeText(minimum, maximum);
    if (value.isEmpty()) {
        if (!fallback)
            reportMissing(field, range);
        return fallback.value_or(minimum);
    }
    const bool numeric = value.isNumeric() && !value.isBoolean();
    const double read = numeric ? value.convert<double>() : minimum;
    if (!numeric || !(read >= minimum && read <= maximum)) {
        fault(field, "is not " + range, "give " + range);
        return fallback.value_or(minimum);
    }
    return read;
}

bool ObjectReader::boolean(const std::string &field, bool fallback)
{
    const Poco::Dynamic::Var value = readField(field);
    if (value.isEmpty())
        return fallback;
    if (!value.isBoolean()) {
        fault(field, "is not a boolean", "give true or false");
        return fallback;
    }
    return value.extract<bool>();
}

std::vector<std::string> ObjectReader::texts(const std::string &field, bool required)
{
    std::vector<std::string> values;
    const Poco::JSON::Array::Ptr elements = array(field, required);
    if (elements.isNull())
        return values;
    for (std::size_t index = 0; index < elements->size(); ++index) {
        const Poco::Dynamic::Var element = elements->get(static_cast<unsigned>(index));
        if (!element.isString() || element.extract<std::string>().empty()) {
            fault(field + "/" + std::to_string(index), "is not a text or is empty",
                  "give a text of at least one character");
            continue;
        }
        values.push_back(element.extract<std::string>());
    }
    return values;
}

void ObjectReader::objects(const std::string &field, bool required, const ElementReader &reader)
{
    const Poco::JSON::Array::Ptr elements = array(field, required);
    if (elements.isNull())
        return;
    for (std::size_t index = 0; index < elements->size(); ++index) {
        const std::string pointer
                = m_pointer + "/" + escapeToken(field) + "/" + std::to_string(index);
        const Poco::JSON::Object::Ptr element = elements->getObject(static_cast<unsigned>(index));
        if (element.isNull()) {
            m_faults.push_back({pointer, "is not an object", "give a JSON object"});
            continue;
        }
        ObjectReader elementReader(element, pointer, m_faults);
        reader(elementReader);
        elementReader.finish();
    }
}

void ObjectReader::object(const std::string &field, const ElementReader &reader)
{
    const Poco::JSON::Object::Ptr value = rawObject(field);
    if (value.isNull())
        return;
    ObjectReader nested(value, m_pointer + "/" + escapeToken(field), m_faults);
    reader(nested);
    nested.finish();
}

Poco::JSON::Object::Ptr ObjectReader::rawObject(const std::string &field)
{
    const Poco::Dynamic::Var value = readField(field);
    if (value.isEmpty())
        return {};
    if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
        fault(field, "is not an object", "give a JSON object");
        return {};
    }
    return value.extract<Poco::JSON::Object::Ptr>();
}

bool ObjectReader::has(const std::string &field) const
{
    return m_object->has(field);
}

void ObjectReader::fault(const std::string &field, std::string message, std::string remedy)
{
    // The field may be the path of an array element ("methods/0"), so its slashes are not escaped.
    const std::string pointer = field.empty() ? m_pointer : m_pointer + "/" + field;
    m_faults.push_back({pointer, std::move(message), std::move(remedy)});
}

void ObjectReader::finish()
{
    for (const std::string &name : m_object->getNames()) {
        if (m_readFields.count(name) != 0)
            continue;
        m_faults.push_back({m_pointer + "/" + escapeToken(name), "is not a known field",
                            "remove it or correct its name"});
    }
}

Poco::Dynamic::Var ObjectReader::readField(const std::string &field)
{
    m_readFields.insert(field);
    return m_object->get(field);
}

Poco::JSON::Array::Ptr ObjectReader::array(const std::string &field, bool required)
{
    const Poco::Dynamic::Var value = readField(field);
    if (value.isEmpty()) {
        if (required)
            reportMissing(field, "an array");
        return {};
    }
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        fault(field, "is not an array", "give a JSON array");
        return {};
    }
    return value.extract<Poco::JSON::Array::Ptr>();
}

void ObjectReader::reportMissing(const std::string &field, const std::string &expected)
{
    fault(field, "is missing", "add it with " + expected);
}

} // namespace sardinehollow::config
