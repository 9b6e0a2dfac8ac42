#include "common/CommandLine.h"

#include "common/ExitCode.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace sardinehollow::apps {

std::optional<Options> parseCommandLine(const std::string &usage, const std::string &program,
                                        int argumentCount, char **arguments, int &exitCode)
{
    exitCode = static_cast<int>(ExitCode::Done);
    try {
        return docopt::docopt_parse(usage, {arguments + 1, arguments + argumentCount}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << program << " " << SARDINEHOLLOW_VERSION << "\n";
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "\n" << usage;
        exitCode = static_cast<int>(ExitCode::Usage);
    }
    return std::nullopt;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

} // namespace sardinehollow::apps
