#include "CommandSupport.h"

#include "sardinehollow_config/json/ConfigurationReader.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

#include <iostream>

namespace sardinehollow::apps {

ExitCode reportError(const core::Error &error)
{
    std::cerr << error.text() << "\n";
    switch (error.kind) {
    case core::ErrorKind::InvalidInput:
        return ExitCode::Invalid;
    case core::ErrorKind::Conflict:
        return ExitCode::Conflict;
    case core::ErrorKind::Unreachable:
    case core::ErrorKind::Unavailable:
        return ExitCode::Unreachable;
    case core::ErrorKind::ResultUnknown:
        return ExitCode::ResultUnknown;
    case core::ErrorKind::NotFound:
    case core::ErrorKind::Internal:
        return ExitCode::Failed;
    }
    return ExitCode::Failed;
}

std::optional<config::Configuration> loadConfiguration(const std::string &path, ExitCode &code)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        std::cerr << "cannot read " << path << "; check the path\n";
        code = ExitCode::Usage;
        return std::nullopt;
    }
    tl::expected<config::Configuration, config::FaultList> configuration
            = config::readConfiguration(*text);
    if (!configuration) {
        std::cerr << config::toText(configuration.error());
        code = ExitCode::Invalid;
        return std::nullopt;
    }
    return std::move(*configuration);
}

std::vector<std::string> splitList(const std::string &text)
{
    const Poco::StringTokenizer tokens(
            text, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    return {tokens.begin(), tokens.end()};
}

std::string textOption(const Options &options, const std::string &name, const std::string &fallback)
{
    const auto found = options.find(name);
    const bool isGiven = found != options.end() && found->second.isString();
    return isGiven ? found->second.asString() : fallback;
}

std::optional<double> numberOption(const Options &options, const std::string &name, double low,
                                   double high)
{
    double number = 0.0;
    const bool isNumber = Poco::NumberParser::tryParseFloat(textOption(options, name, ""), number);
    if (isNumber && number >= low && number <= high)
        return number;
    std::cerr << name << " is not a number from " << low << " to " << high << "; correct it\n";
    return std::nullopt;
}

void printJson(const Poco::JSON::Object &object)
{
    object.stringify(std::cout);
    std::cout << "\n";
}

} // namespace sardinehollow::apps
