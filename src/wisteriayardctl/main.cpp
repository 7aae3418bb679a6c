#include "address.h"
#include "commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <sstream>

namespace po = boost::program_options;
using namespace wisteriayard;

namespace {

struct CommandLine {
    std::string store;
    std::string platform;
    std::vector<std::string> entries;
    std::int64_t waitMs = 5000;
    std::int64_t ifRevision = -1;
    std::int64_t outputTokens = -1;
    std::int64_t timeLeftMs = -1;
    bool json = false;
    bool help = false;
    ctl::Arguments arguments;
};

po::options_description describeOptions(CommandLine& line)
{
    po::options_description options(
        "Options; the first three also as WISTERIAYARD_STORE, WISTERIAYARD_PLATFORM and WISTERIAYARD_ENTRY "
        "(entries separated by spaces)");
    auto add = options.add_options();
    add("help", po::bool_switch(&line.help), "show this text");
    add("store", po::value(&line.store), "IP:port of the key-value store");
    add("platform", po::value(&line.platform), "IP:port of the platform, whose list names the live entries");
    add("entry", po::value(&line.entries)->composing(), "IP:port of an entry's admin port; may be repeated");
    add("json", po::bool_switch(&line.json), "print JSON");
    add("wait-ms", po::value(&line.waitMs), "how long to wait for every entry to confirm");
    add("if-revision", po::value(&line.ifRevision), "contract put: refuse unless the contract is at this revision");
    add("account", po::value(&line.arguments.account),
        "key list, usage: only this account; where: the account of the request");
    add("log", po::value(&line.arguments.logFiles)->composing()->multitoken(), "explain: log files");
    add("last", po::value(&line.arguments.logAnchors)->composing(),
        "audit verify: [INCARNATION:]SEQUENCE[:HASH] that a log must reach, see status --json; may be repeated");
    add("replay", po::bool_switch(&line.arguments.replay), "audit verify: recompute decisions");
    add("contracts", po::value(&line.arguments.contractsFolder),
        "audit verify: folder with <account>/<revision>.json; without it the store's history is read");
    add("reports", po::value(&line.arguments.usageReportsFile),
        "audit verify: JSON list of usage reports to reconcile");
    add("export", po::value(&line.arguments.exportFolder), "contract history: folder to write the contracts to");
    add("prompt", po::value(&line.arguments.prompt),
        "where: segments of the prompt, ID:TOKENS,... with ID hexadecimal");
    add("output-tokens", po::value(&line.outputTokens), "where: expected length of the answer");
    add("time-left-ms", po::value(&line.timeLeftMs), "where: time left for the request; the route's timeout if absent");
    return options;
}

Status parseCommandLine(int argc, char** argv, CommandLine& line, std::string& optionsHelp)
{
    auto options = describeOptions(line);
    std::ostringstream text;
    text << options;
    optionsHelp = text.str();
    po::options_description all;
    all.add(options).add_options()("word", po::value(&line.arguments.words), "");
    po::positional_options_description positional;
    positional.add("word", -1);
    try {
        po::variables_map variables;
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), variables);
        po::store(po::parse_environment(options,
                      [](const std::string& name) -> std::string {
                          if (name == "WISTERIAYARD_STORE")
                              return "store";
                          if (name == "WISTERIAYARD_PLATFORM")
                              return "platform";
                          return name == "WISTERIAYARD_ENTRY" ? "entry" : "";
                      }),
            variables);
        po::notify(variables);
    } catch (const po::error& error) {
        return fail(Errc::InvalidArgument, error.what());
    }
    if (line.waitMs < 0)
        return fail(Errc::InvalidArgument, "--wait-ms: expected 0 or more");
    line.arguments.wait = std::chrono::milliseconds(line.waitMs);
    if (line.ifRevision >= 0)
        line.arguments.ifRevision = line.ifRevision;
    if (line.outputTokens >= 0)
        line.arguments.outputTokens = line.outputTokens;
    if (line.timeLeftMs >= 0)
        line.arguments.timeLeftMs = line.timeLeftMs;
    return boost::outcome_v2::success();
}

Result<std::vector<boost::asio::ip::tcp::endpoint>> parseEntries(const std::vector<std::string>& texts)
{
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    for (const std::string& text : texts) {
        std::istringstream words(text);
        for (std::string word; words >> word;) {
            BOOST_OUTCOME_TRY(auto address, parseAddress(word));
            entries.push_back(address);
        }
    }
    return entries;
}

ctl::ExitCode exitCodeOf(Errc code)
{
    switch (code) {
    case Errc::Unavailable:
    case Errc::Timeout:
    case Errc::Protocol:
        return ctl::ExitCode::Unavailable;
    default:
        return ctl::ExitCode::Refused;
    }
}

int usageError(const std::string& message)
{
    std::cerr << "wisteriayardctl: " << message << "; see --help\n";
    return static_cast<int>(ctl::ExitCode::Usage);
}

/// Addresses of the services that a command uses.
struct Servers {
    boost::asio::ip::tcp::endpoint store;
    std::optional<boost::asio::ip::tcp::endpoint> platform;
    std::vector<boost::asio::ip::tcp::endpoint> entries;
};

Result<Servers> parseServers(const CommandLine& line, bool needsStore)
{
    Servers servers;
    if (line.store.empty() && needsStore)
        return fail(Errc::InvalidArgument, "--store is missing; expected IP:port of the key-value store");
    auto withOptionName = [](const char* option, auto parsed) -> decltype(parsed) {
        if (!parsed)
            return fail(Errc::InvalidArgument, std::string(option) + ": " + parsed.error().message);
        return parsed;
    };
    if (!line.store.empty()) {
        BOOST_OUTCOME_TRY(servers.store, withOptionName("--store", parseAddress(line.store)));
    }
    if (!line.platform.empty()) {
        BOOST_OUTCOME_TRY(auto platform, withOptionName("--platform", parseAddress(line.platform)));
        servers.platform = platform;
    }
    BOOST_OUTCOME_TRY(servers.entries, withOptionName("--entry", parseEntries(line.entries)));
    return servers;
}

int run(const CommandLine& line, const ctl::CommandInfo& command, const Servers& servers)
{
    constexpr Duration storeTimeout = std::chrono::seconds(5);
    boost::asio::io_context io(1);
    EtcdStoreClient store(io.get_executor(), servers.store, storeTimeout);
    ctl::Context context { io, store, servers.entries, servers.platform, line.json };
    ctl::CommandResult result = fail(Errc::Unavailable, "the command did not complete");
    auto task = [&]() -> boost::asio::awaitable<void> {
        result = co_await ctl::runCommand(context, command, line.arguments);
        io.stop();
    };
    boost::asio::co_spawn(io, task, boost::asio::detached);
    io.run();
    if (result)
        return static_cast<int>(result.value());
    std::cerr << "wisteriayardctl: " << result.error().message << '\n';
    return static_cast<int>(exitCodeOf(result.error().code));
}

} // namespace

int main(int argc, char** argv)
{
    CommandLine line;
    std::string optionsHelp;
    if (auto parsed = parseCommandLine(argc, argv, line, optionsHelp); !parsed)
        return usageError(parsed.error().message);
    const ctl::CommandInfo* command = ctl::findCommand(line.arguments.words);
    if (line.help) {
        std::cout << "wisteriayardctl [options] COMMAND\n\nCommands:\n"
                  << ctl::commandHelp(command) << '\n'
                  << optionsHelp;
        return 0;
    }
    if (line.arguments.words.empty())
        return usageError("no command");
    if (!command)
        return usageError("no such command: " + line.arguments.words.front());
    bool needsStore = command->needsStore || (line.arguments.replay && line.arguments.contractsFolder.empty());
    auto servers = parseServers(line, needsStore);
    if (!servers)
        return usageError(servers.error().message);
    return run(line, *command, servers.value());
}
