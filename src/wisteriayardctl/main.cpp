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
    std::vector<std::string> entries;
    std::int64_t waitMs = 5000;
    std::int64_t ifRevision = -1;
    bool json = false;
    bool help = false;
    ctl::Arguments arguments;
};

po::options_description describeOptions(CommandLine& line)
{
    po::options_description options(
        "wisteriayardctl [options] COMMAND\n\n"
        "Commands:\n"
        "  contract check FILE     validate a contract\n"
        "  contract put FILE       put a contract in force\n"
        "  contract get ACCOUNT    show a contract and its revision\n"
        "  contract list           list contracts\n"
        "  key issue ACCOUNT       issue a key\n"
        "  key withdraw KEY        withdraw a key, given as key or hash\n"
        "  key list                list keys by hash\n"
        "  status                  state of each entry\n\n"
        "Example: wisteriayardctl --store 10.0.0.5:2379 --entry 10.0.0.7:9100 contract put jordan.json\n\n"
        "Options, also as WISTERIAYARD_STORE, WISTERIAYARD_ENTRY (separated by spaces)");
    auto add = options.add_options();
    add("help", po::bool_switch(&line.help), "show this text");
    add("store", po::value(&line.store), "IP:port of the key-value store");
    add("entry", po::value(&line.entries)->composing(), "IP:port of an entry's admin port; may be repeated");
    add("json", po::bool_switch(&line.json), "print JSON");
    add("wait-ms", po::value(&line.waitMs), "how long to wait for every entry to confirm");
    add("if-revision", po::value(&line.ifRevision), "contract put: refuse unless the contract is at this revision");
    add("account", po::value(&line.arguments.account), "key list: only this account");
    return options;
}

Status parseCommandLine(int argc, char** argv, CommandLine& line, std::string& help)
{
    auto options = describeOptions(line);
    std::ostringstream text;
    text << options;
    help = text.str();
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

int run(const CommandLine& line, const boost::asio::ip::tcp::endpoint& server,
    std::vector<boost::asio::ip::tcp::endpoint> entries)
{
    constexpr Duration storeTimeout = std::chrono::seconds(5);
    boost::asio::io_context io(1);
    StoreClient store(io.get_executor(), server, storeTimeout);
    ctl::Context context { io, store, std::move(entries), line.json };
    ctl::CommandResult result = fail(Errc::Unavailable, "not run");
    auto task = [&]() -> boost::asio::awaitable<void> { result = co_await ctl::runCommand(context, line.arguments); };
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
    std::string help;
    if (auto parsed = parseCommandLine(argc, argv, line, help); !parsed)
        return usageError(parsed.error().message);
    if (line.help) {
        std::cout << help;
        return 0;
    }
    if (line.arguments.words.empty())
        return usageError("no command");
    auto entries = parseEntries(line.entries);
    if (!entries)
        return usageError("--entry: " + entries.error().message);
    bool needsStore = line.arguments.words.front() != "status"
        && !(line.arguments.words.size() > 1 && line.arguments.words[1] == "check");
    auto server = parseAddress(line.store.empty() && !needsStore ? "127.0.0.1:0" : line.store);
    if (!server)
        return usageError("--store: " + server.error().message);
    return run(line, server.value(), std::move(entries.value()));
}
