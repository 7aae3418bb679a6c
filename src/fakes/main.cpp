// Fake platform services: wisteriayard-fakes kv|engine|service|platform|proxy [options].
#include "address.h"
#include "fakes.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

namespace po = boost::program_options;
using namespace wisteriayard;

namespace wisteriayard::fakes {

boost::asio::awaitable<void> sleepFor(boost::asio::io_context& io, Duration time)
{
    boost::asio::steady_timer timer(io, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace wisteriayard::fakes

namespace {

HttpHandler makeHandler(const std::string& kind, boost::asio::io_context& io, const fakes::Settings& settings)
{
    if (kind == "kv")
        return fakes::makeKvHandler(io);
    if (kind == "engine")
        return fakes::makeEngineHandler(io, settings);
    if (kind == "service")
        return fakes::makeServiceHandler(io, settings);
    if (kind == "platform")
        return fakes::makePlatformHandler(io, settings);
    if (kind == "proxy")
        return fakes::makeProxyHandler(io, settings);
    return {};
}

int run(const std::string& kind, const fakes::Settings& settings)
{
    boost::asio::io_context io(1);
    HttpHandler handler = makeHandler(kind, io, settings);
    if (!handler) {
        std::cerr << "unknown fake service \"" << kind << "\"; expected kv, engine, service, platform or proxy\n";
        return 2;
    }
    auto address = parseAddress(kind == "proxy" ? settings.control : settings.listen);
    if (!address) {
        std::cerr << "--listen: " << address.error().message << '\n';
        return 2;
    }
    auto server = std::make_shared<HttpServer>(io, HttpServerLimits {}, std::move(handler));
    if (auto listening = server->listen(address.value()); !listening) {
        std::cerr << listening.error().message << '\n';
        return 1;
    }
    std::cout << "listening on " << formatAddress(server->localAddress()) << std::endl;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    fakes::Settings settings;
    std::string kind;
    po::options_description options("wisteriayard-fakes kv|engine|service|platform|proxy [options]");
    auto add = options.add_options();
    add("help", "show this text");
    add("kind", po::value(&kind), "which stand-in");
    add("listen", po::value(&settings.listen), "IP:port; port 0 lets the system choose");
    add("to", po::value(&settings.target), "proxy: IP:port that it relays to");
    add("control", po::value(&settings.control), "proxy: IP:port for faults and statistics");
    add("model", po::value(&settings.model), "engine: name of the model");
    add("service", po::value(&settings.service), "service: its name");
    add("slots", po::value(&settings.slots), "engine: requests that run at once");
    add("token-ms", po::value(&settings.tokenMs), "engine: time between tokens in ms");
    add("prefill-ms", po::value(&settings.prefillMs), "engine: prefill time of an uncached prompt in ms");
    add("report-lag-ms", po::value(&settings.reportLagMs), "engine: age of load reports in ms");
    add("check-fencing", po::bool_switch(&settings.checkFencing), "engine, platform: refuse orders with an old epoch");
    add("instances", po::value(&settings.instancesFile), "platform: JSON file with the first instance list");
    po::positional_options_description positional;
    positional.add("kind", 1);
    try {
        po::variables_map variables;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), variables);
        po::notify(variables);
        if (variables.count("help")) {
            std::cout << options;
            return 0;
        }
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return run(kind, settings);
}
