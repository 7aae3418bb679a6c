// Load generator: wisteriayard-load SCENARIO.json [--output FILE].
#include "load_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace po = boost::program_options;
using namespace wisteriayard;

namespace {

constexpr int usageError = 2;

int run(const std::string& scenarioFile, const std::string& output)
{
    std::ifstream file(scenarioFile);
    if (!file) {
        std::cerr << "wisteriayard-load: cannot open " << scenarioFile << '\n';
        return usageError;
    }
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    auto scenario = load::parseScenario(text);
    if (!scenario) {
        std::cerr << "wisteriayard-load: " << scenario.error().message << '\n';
        return usageError;
    }
    boost::asio::io_context io(1);
    load::LoadRun loadRun(io, scenario.value());
    boost::asio::co_spawn(
        io, [&] { return loadRun.run(); }, boost::asio::detached);
    io.run();
    if (output.empty()) {
        std::cout << loadRun.resultJson() << '\n';
        return 0;
    }
    std::ofstream result(output);
    result << loadRun.resultJson() << '\n';
    return result ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::string scenario;
    std::string output;
    po::options_description options("wisteriayard-load SCENARIO.json [options]\n"
                                    "Example scenario: examples/load/chat.json\nOptions");
    auto add = options.add_options();
    add("help", "show this text");
    add("output", po::value(&output), "file for the results; standard output if absent");
    add("scenario", po::value(&scenario), "scenario file");
    po::positional_options_description positional;
    positional.add("scenario", 1);
    try {
        po::variables_map variables;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), variables);
        po::notify(variables);
        if (variables.count("help")) {
            std::cout << options;
            return 0;
        }
    } catch (const po::error& error) {
        std::cerr << "wisteriayard-load: " << error.what() << '\n';
        return usageError;
    }
    if (scenario.empty()) {
        std::cerr << "wisteriayard-load: no scenario; see --help\n";
        return usageError;
    }
    return run(scenario, output);
}
