#include "settings.h"

#include "address.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <sstream>

namespace wisteriayard {

namespace po = boost::program_options;

namespace {

    constexpr const char* environmentPrefix = "WISTERIAYARD_";
    constexpr std::int64_t bytesPerMebibyte = 1024 * 1024;

    po::options_description describeOptions()
    {
        po::options_description options("wisteriayardd --role entry|agent [options]\n"
                                        "Each option can also be set as an environment variable: --drain-delay-ms is "
                                        "WISTERIAYARD_DRAIN_DELAY_MS. A flag goes before the environment");
        auto add = options.add_options();
        auto addTime = [&add](const char* name, std::int64_t value, const char* text) {
            add(name, po::value<std::int64_t>()->default_value(value), text);
        };
        add("help", "show this text");
        add("version", "show the version");
        add("role", po::value<std::string>(), "entry or agent");
        add("instance", po::value<std::string>(), "id of this instance");
        add("zone", po::value<std::string>(), "availability zone of this instance");
        add("region", po::value<std::string>(), "region of this instance");
        add("listen", po::value<std::string>(), "IP:port for callers (entry) or for entries (agent)");
        add("peer", po::value<std::string>(), "entry: IP:port for other entries");
        add("admin", po::value<std::string>(), "IP:port for health, readiness and metrics");
        add("store", po::value<std::string>(), "IP:port of the key-value store");
        add("platform", po::value<std::string>(), "IP:port of the platform's instance list");
        add("log-file", po::value<std::string>()->default_value(""), "log file; standard output if empty");
        add("store-timeout-ms", po::value<std::int64_t>()->default_value(2000), "longest store call, 10 to 60000");
        add("drain-delay-ms", po::value<std::int64_t>()->default_value(5000),
            "time between failing readiness and closing the listener, 0 to 600000");
        add("drain-timeout-ms", po::value<std::int64_t>()->default_value(60000),
            "longest time for running requests at shutdown, 0 to 3600000");
        add("store-region", po::value<std::string>()->default_value(""),
            "entry: region of the key-value store; without it an entry refuses 5 s after it lost the store");
        add("traffic-threads", po::value<std::int64_t>()->default_value(2), "entry: traffic threads, 1 to 64");
        add("max-connections", po::value<std::int64_t>()->default_value(10000),
            "entry: callers' connections, 1 to 1000000");
        add("max-body-bytes", po::value<std::int64_t>()->default_value(8 * 1024 * 1024),
            "entry: largest request body, 1024 to 8388608");
        add("head-memory-mb", po::value<std::int64_t>()->default_value(16),
            "entry: memory for the heads of all callers' connections, 1 to 4096");
        add("body-memory-mb", po::value<std::int64_t>()->default_value(512),
            "entry: memory for the bodies of all requests and their copies, 1 to 65536; at least one body for each "
            "thread");
        add("read-timeout-ms", po::value<std::int64_t>()->default_value(30000),
            "entry: time for a request to arrive, 10 to 600000");
        add("planner", po::value<bool>()->default_value(true),
            "entry: takes part in the leases for orders and usage reports");
        addTime("lease-ms", 6000, "entry: time of a lease, 1000 to 60000");
        addTime("lease-margin-ms", 1000, "entry: time before a lease's end when its holder stops, at most a quarter");
        addTime("usage-window-ms", 60000, "entry: length of a usage window, 500 to 3600000");
        addTime("usage-part-ms", 5000, "entry: time between written parts of usage, 10 to 60000");
        addTime("usage-grace-ms", 30000, "entry: time after a window's end before it is closed, 0 to 3600000");
        add("usage-retained-windows", po::value<std::int64_t>()->default_value(1440),
            "entry: closed windows whose records the store keeps, 2 to 100000");
        addTime("planner-interval-ms", 5000, "entry: time between plans for the zone, 10 to 60000");
        addTime("planner-grow-ms", 5000, "entry: time of high load before endpoints are ordered, 0 to 3600000");
        addTime("planner-shrink-ms", 120000, "entry: time of low load before endpoints go, 0 to 86400000");
        add("endpoint", po::value<std::string>(), "agent: id of the endpoint beside it");
        add("endpoint-kind", po::value<std::string>()->default_value("engine"), "agent: engine or service");
        add("endpoint-address", po::value<std::string>(), "agent: IP:port of the endpoint");
        add("target", po::value<std::string>(), "agent: model or service that the endpoint serves");
        add("order-listen", po::value<std::string>(),
            "agent: IP:port for orders to the endpoint; none if it is not set");
        add("slots", po::value<std::int64_t>()->default_value(8), "agent: requests at once, 1 to 10000");
        add("once-partitions", po::value<std::int64_t>()->default_value(16),
            "at-most-once partitions of a service, 1 to 4096; the first agent's value is kept in the store");
        add("once-write-interval-ms", po::value<std::int64_t>()->default_value(100),
            "agent: shortest time between writes of one partition, 1 to 10000");
        add("once-retention-s", po::value<std::int64_t>()->default_value(86400),
            "agent: how long keys of at-most-once calls are remembered, 60 to 2592000");
        return options;
    }

    std::string optionForVariable(std::string name)
    {
        std::string prefix = environmentPrefix;
        if (name.rfind(prefix, 0) != 0)
            return {};
        name.erase(0, prefix.size());
        std::transform(name.begin(), name.end(), name.begin(),
            [](unsigned char c) { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
        return name;
    }

    /// Reads typed option values and keeps the first error.
    class OptionReader {
    public:
        explicit OptionReader(const po::variables_map& variables)
            : m_variables(variables)
        {
        }

        std::string text(const char* name)
        {
            if (!m_variables.count(name) || m_variables[name].as<std::string>().empty()) {
                recordError(std::string("--") + name + " is missing");
                return {};
            }
            return m_variables[name].as<std::string>();
        }

        boost::asio::ip::tcp::endpoint address(const char* name)
        {
            auto parsed = parseAddress(text(name));
            if (!parsed) {
                recordError(std::string("--") + name + ": " + parsed.error().message);
                return {};
            }
            return parsed.value();
        }

        std::int64_t integer(const char* name, std::int64_t min, std::int64_t max)
        {
            auto value = m_variables[name].as<std::int64_t>();
            if (value < min || value > max)
                recordError(std::string("--") + name + ": " + std::to_string(value) + " is not allowed; expected "
                    + std::to_string(min) + " to " + std::to_string(max));
            return value;
        }

        Duration milliseconds(const char* name, std::int64_t min, std::int64_t max)
        {
            return std::chrono::milliseconds(integer(name, min, max));
        }

        void recordError(std::string message)
        {
            if (m_error.empty())
                m_error = std::move(message);
        }

        const std::string& error() const { return m_error; }

    private:
        const po::variables_map& m_variables;
        std::string m_error;
    };

    CommonSettings readCommonSettings(OptionReader& reader, const po::variables_map& variables)
    {
        CommonSettings common;
        common.instance = InstanceId(reader.text("instance"));
        common.zone = ZoneId(reader.text("zone"));
        common.region = RegionId(reader.text("region"));
        common.store = reader.address("store");
        common.platform = reader.address("platform");
        common.admin = reader.address("admin");
        common.logFile = variables["log-file"].as<std::string>();
        common.storeTimeout = reader.milliseconds("store-timeout-ms", 10, 60'000);
        common.drainDelay = reader.milliseconds("drain-delay-ms", 0, 600'000);
        common.drainTimeout = reader.milliseconds("drain-timeout-ms", 0, 3'600'000);
        return common;
    }

    OnceSettings readOnceSettings(OptionReader& reader)
    {
        OnceSettings once;
        once.partitions = static_cast<std::uint32_t>(reader.integer("once-partitions", 1, 4096));
        once.writeInterval = reader.milliseconds("once-write-interval-ms", 1, 10'000);
        once.retention = std::chrono::seconds(reader.integer("once-retention-s", 60, 2'592'000));
        return once;
    }

    void readPlannerSettings(OptionReader& reader, const po::variables_map& variables, EntrySettings& entry)
    {
        entry.planner = variables["planner"].as<bool>();
        std::int64_t lease = reader.integer("lease-ms", 1000, 60'000);
        entry.lease.timeToLive = std::chrono::milliseconds(lease);
        entry.lease.safetyMargin = reader.milliseconds("lease-margin-ms", 1, lease / 4);
        entry.usageWindow = reader.milliseconds("usage-window-ms", 500, 3'600'000);
        entry.partialUsageInterval = reader.milliseconds("usage-part-ms", 10, 60'000);
        entry.usageGrace = reader.milliseconds("usage-grace-ms", 0, 3'600'000);
        entry.usageRetainedWindows = reader.integer("usage-retained-windows", 2, 100'000);
        entry.plannerInterval = reader.milliseconds("planner-interval-ms", 10, 60'000);
        entry.plannerScaleUpAfter = reader.milliseconds("planner-grow-ms", 0, 3'600'000);
        entry.plannerScaleDownAfter = reader.milliseconds("planner-shrink-ms", 0, 86'400'000);
    }

    EntrySettings readEntrySettings(OptionReader& reader, const po::variables_map& variables)
    {
        EntrySettings entry;
        entry.common = readCommonSettings(reader, variables);
        entry.listen = reader.address("listen");
        entry.storeRegion = RegionId(variables["store-region"].as<std::string>());
        entry.peer = reader.address("peer");
        entry.trafficThreads = static_cast<int>(reader.integer("traffic-threads", 1, 64));
        entry.maxConnections = static_cast<int>(reader.integer("max-connections", 1, 1'000'000));
        entry.maxBody = Bytes(reader.integer("max-body-bytes", 1024, 8 * 1024 * 1024));
        entry.headMemory = Bytes(reader.integer("head-memory-mb", 1, 4096) * bytesPerMebibyte);
        entry.bodyMemory = Bytes(reader.integer("body-memory-mb", 1, 65'536) * bytesPerMebibyte);
        entry.readTimeout = reader.milliseconds("read-timeout-ms", 10, 600'000);
        entry.once = readOnceSettings(reader);
        readPlannerSettings(reader, variables, entry);
        return entry;
    }

    AgentSettings readAgentSettings(OptionReader& reader, const po::variables_map& variables)
    {
        AgentSettings agent;
        agent.common = readCommonSettings(reader, variables);
        agent.listen = reader.address("listen");
        agent.endpoint = EndpointId(reader.text("endpoint"));
        agent.target = TargetId(reader.text("target"));
        agent.endpointAddress = reader.address("endpoint-address");
        if (variables.count("order-listen"))
            agent.orderListen = reader.address("order-listen");
        agent.slots = static_cast<int>(reader.integer("slots", 1, 10'000));
        std::string kind = reader.text("endpoint-kind");
        if (kind != "engine" && kind != "service")
            reader.recordError("--endpoint-kind: \"" + kind + "\" is not allowed; expected engine or service");
        agent.kind = kind == "service" ? EndpointKind::Service : EndpointKind::Engine;
        agent.once = readOnceSettings(reader);
        return agent;
    }

    Result<Settings> readRole(const po::variables_map& variables)
    {
        OptionReader reader(variables);
        std::string role = reader.text("role");
        Settings settings;
        if (role == "entry")
            settings = readEntrySettings(reader, variables);
        else if (role == "agent")
            settings = readAgentSettings(reader, variables);
        else
            reader.recordError("--role: \"" + role + "\" is not allowed; expected entry or agent");
        if (!reader.error().empty())
            return fail(Errc::InvalidArgument, reader.error());
        return settings;
    }

} // namespace

Result<Settings> parseSettings(int argc, const char* const* argv)
{
    po::options_description options = describeOptions();
    po::variables_map variables;
    try {
        po::store(po::parse_command_line(argc, argv, options), variables);
        // Environment variables that match no option are ignored.
        auto known = [&](const std::string& variable) {
            std::string name = optionForVariable(variable);
            return !name.empty() && options.find_nothrow(name, false) ? name : std::string();
        };
        po::store(po::parse_environment(options, known), variables);
        po::notify(variables);
    } catch (const po::error& error) {
        return fail(Errc::InvalidArgument, error.what());
    }
    if (variables.count("help")) {
        std::ostringstream text;
        text << options;
        return Settings(ShowText { text.str() });
    }
    if (variables.count("version"))
        return Settings(ShowText { "wisteriayardd " WISTERIAYARD_VERSION "\n" });
    return readRole(variables);
}

} // namespace wisteriayard
