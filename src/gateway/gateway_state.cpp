#include "gateway_state.h"

#include "clock.h"
#include "wisteriayard/region_rules.h"
#include "wisteriayard/store_numbers.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    /// Rate per second and burst of request log lines of one process; suppressed lines are counted.
    constexpr double requestLogLinesPerSecond = 250;
    constexpr double requestLogLinesBurst = 500;
    /// Share of the platform's retry limit that is used: the gateway processes and the platform count over
    /// different windows.
    constexpr double retryLimitShare = 0.7;
    /// Memory of the process apart from bodies and responses. An entry of a deployment with 300 machines uses 20 MiB.
    constexpr Bytes workingMemory { 24 * 1024 * 1024 };
    /// Share of the memory limit that buffered responses may use, and the least one for request bodies.
    constexpr double bufferedResponseMemoryShare = 0.125;
    constexpr double minRequestBodyMemoryShare = 0.25;
    /// Share of the memory limit that heads of requests may use, unless the settings state a size. With a limit of 110
    /// MiB that is enough for 400 heads of the greatest permitted size, or several thousand usual ones.
    constexpr double requestHeadMemoryShare = 0.0625;
    /// Share of the memory limit that unread events of streams may use, out of the memory for request bodies: a share
    /// of their own would leave bodies less than half of a limit of 110 MiB.
    constexpr double streamBufferMemoryShare = 0.125;
    /// Size limit of a small head, and the share of the memory for heads that larger ones leave to them, so that a
    /// crowd of large heads doesn't stop all other requests.
    constexpr Bytes maxSmallHead { 4 * 1024 };
    constexpr double smallHeadMemoryShare = 0.25;
    /// Memory for bodies that larger ones leave to small ones, so that uploads don't stop all other requests.
    constexpr Bytes smallBodyMemory { 2 * 1024 * 1024 };
    /// Time without a byte after which an upload may be ended for others: several retransmissions between regions.
    constexpr Duration minUploadStall = std::chrono::seconds(1);
    /// Time without reading after which a caller may be closed for others; with less, its endpoint is read more slowly.
    constexpr Duration minReadStall = std::chrono::seconds(1);
    constexpr std::size_t receiveBufferBytes = 16 * 1024;
    /// Descriptors that accepting connections leaves free, as a share of all and at most: for listeners, the store,
    /// other entries, readiness, metrics, and the connections to endpoints of requests that are being accepted.
    constexpr double reservedDescriptorShare = 0.1;
    constexpr int maxReservedDescriptors = 200;

    /// Limit on the names in one field of a log line.
    constexpr std::size_t maxLoggedNames = 16;

    const std::string& nameText(const std::string& name) { return name; }
    template <typename Id> const std::string& nameText(const Id& id) { return id.value(); }

    /// The first names of a list.
    template <typename Names> nlohmann::json listField(const Names& names)
    {
        nlohmann::json field = nlohmann::json::array();
        for (const auto& name : names) {
            if (field.size() == maxLoggedNames)
                break;
            field.push_back(nameText(name));
        }
        return field;
    }

    Bytes shareOf(Bytes memory, double share)
    {
        return Bytes(static_cast<std::int64_t>(share * static_cast<double>(memory.value())));
    }

    Bytes requestHeadMemory(const GatewaySettings& settings)
    {
        return settings.headMemory.value_or(shareOf(settings.memory, requestHeadMemoryShare));
    }

    Bytes requestBodyMemory(const GatewaySettings& settings)
    {
        Bytes memory = settings.memory;
        Bytes rest
            = memory - shareOf(memory, bufferedResponseMemoryShare) - requestHeadMemory(settings) - workingMemory;
        return std::max(rest, shareOf(memory, minRequestBodyMemoryShare));
    }

} // namespace

GatewayState::GatewayState(boost::asio::io_context& loop, GatewaySettings initial, const PlatformPort& port,
    std::shared_ptr<EventLog> eventLog)
    : io(loop)
    , settings(std::move(initial))
    , platform(port)
    , log(std::move(eventLog))
    , watchdog(loop)
    , pool(loop)
    , directory(
          settings, platform, log,
          [this](TimePoint at) { return clock.guardedMillisecondsAt(wallClockMilliseconds(), bootTimeNow(), at); },
          [this](const EndpointId& id) { pool.drop(id); })
    , crashGuard(loop, log, metrics)
    , requestLogBudget(requestLogLinesPerSecond, requestLogLinesBurst)
    , requestBodies(requestBodyMemory(settings))
    , requestHeads(requestHeadMemory(settings))
    , receiveBuffer(receiveBufferBytes, '\0')
    , bufferedResponses(shareOf(settings.memory, bufferedResponseMemoryShare))
    , streamBuffers(shareOf(settings.memory, streamBufferMemoryShare), requestBodies, smallBodyMemory)
{
}

void GatewayState::configure(RoutingConfig config, const ConfigOrigin& origin)
{
    if (routes && config.version <= routes->config().version)
        return;
    directory.configure(config);
    directory.updateCold(bootTimeNow());
    ConfigVersion version = config.version;
    auto next = std::make_shared<const RouteTable>(std::move(config));
    log->write(Event::ConfigInForce,
        { { "version", version.value() }, { "before", routes ? routes->config().version.value() : 0 },
            { "routes", next->config().routes.size() }, { "keys", next->config().keys.size() },
            { "revision", numberInEra(origin.revision) }, { "source", origin.source },
            { "max_delay_ms", origin.maxDelay ? nlohmann::json(origin.maxDelay->count() / 1000) : nlohmann::json() } });
    if (origin.maxDelay)
        metrics.configApplied(*origin.maxDelay);
    routes = std::move(next);
    metrics.setConfigVersion(version.value());
    for (const InvalidField& field : routes->config().invalidFields)
        logInvalidField("configuration", field);
    reportRegions();
}

void GatewayState::reportRegions()
{
    if (!routes)
        return;
    RegionFindings findings = checkRegions(*routes, settings.regions());
    if (findings.isEmpty())
        return;
    std::vector<std::string> combinations;
    for (const auto& [route, account] : findings.listedCombinations)
        combinations.push_back(route + "/" + account.value());
    log->write(Event::RegionsUnavailable,
        { { "version", routes->config().version.value() }, { "unknown_regions", listField(findings.unknownRegions) },
            { "routes", listField(findings.routes) }, { "accounts", listField(findings.accounts) },
            { "combinations", findings.combinations }, { "listed_combinations", combinations } });
}

std::set<RegionId> GatewaySettings::regions() const
{
    std::set<RegionId> known { region };
    for (const auto& [zone, zoneRegion] : zones)
        known.insert(zoneRegion);
    return known;
}

void GatewayState::logInvalidField(std::string_view document, const InvalidField& field)
{
    log->write(Event::DocumentFieldInvalid,
        { { "document", document }, { "field", field.name }, { "problem", field.problem } });
}

RetryBudget& GatewayState::retryBudget(const TargetId& target)
{
    RetryBudget& budget = retryBudgets[target];
    RetryPolicy total { retryLimitShare * settings.retryRatio, retryLimitShare * settings.retrySlack };
    budget.setPolicy(sharedRetryPolicy(total, liveEntries));
    return budget;
}

bool GatewayState::reserveHead(ByteReservation& reservation, Bytes size)
{
    Bytes spare = size > maxSmallHead ? shareOf(requestHeadMemory(settings), smallHeadMemoryShare) : Bytes(0);
    while (!reservation.extendTo(size, spare)) {
        if (!clients.closeOldestHead())
            return false;
    }
    return true;
}

bool GatewayState::reserveBody(
    ByteReservation& reservation, Bytes size, const StalledTransfers::Entry& upload, bool isSmall, TimePoint now)
{
    if (size <= reservation.size())
        return true;
    TransferNeed need { size };
    if (!isSmall) {
        need.spare = smallBodyMemory;
        need.expected = uploads.expectedBefore(upload, minUploadStall, now);
    }
    return uploads.extend(reservation, need, upload, minUploadStall, now);
}

bool GatewayState::reserveStream(
    ByteReservation& reservation, Bytes size, const StalledTransfers::Entry& stream, TimePoint now)
{
    return unreadStreams.extend(reservation, TransferNeed { size }, stream, minReadStall, now);
}

bool GatewayState::makeRoomForConnection()
{
    auto share = static_cast<int>(reservedDescriptorShare * settings.descriptors);
    int limit = std::max(1, settings.descriptors - std::min(share, maxReservedDescriptors));
    auto isFull = [this, limit] { return clients.size() + pool.connections() >= static_cast<std::size_t>(limit); };
    while (isFull() && clients.closeForDescriptor()) { }
    if (isFull())
        pool.dropAll();
    return !isFull();
}

void GatewayState::logRequest(Event event, nlohmann::json fields, TimePoint now)
{
    if (!requestLogBudget.tryAcquire(now))
        return;
    log->write(event, std::move(fields));
}

} // namespace wisteriayard
