#include "entry_usage.h"

#include "authority_call.h"
#include "clock.h"

namespace wisteriayard {

namespace {

    Duration storeTimeout(const EntrySettings& settings)
    {
        // A call that outlasts a part of the lease time costs the lease.
        return std::min(settings.common.storeTimeout, settings.lease.timeToLive / 4);
    }

    std::string reportBody(const std::string& record, Epoch epoch)
    {
        nlohmann::json body = nlohmann::json::parse(record, nullptr, false);
        body["epoch"] = epoch.value();
        body.erase("counted");
        return body.dump();
    }

} // namespace

std::shared_ptr<UsageReporter> makeUsageReporter(
    boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log)
{
    UsageReporter::Parts parts;
    parts.instance = settings.common.instance;
    parts.times.window = settings.usageWindow;
    parts.times.partInterval = settings.partialUsageInterval;
    parts.times.grace = settings.usageGrace;
    parts.times.retainedWindows = settings.usageRetainedWindows;
    parts.lease = settings.lease;
    parts.reports = settings.planner;
    parts.store = std::make_unique<EtcdStoreClient>(io.get_executor(), settings.common.store, storeTimeout(settings));
    parts.sender = [executor = io.get_executor(), platform = settings.common.platform](
                       LeaseKeeper& keeper, WindowId, const std::string& record) {
        return postWithAuthority(executor, keeper, platform, "/v1/usage-reports", reportBody(record, keeper.epoch()));
    };
    parts.clock = wallClockMilliseconds;
    return std::make_shared<UsageReporter>(io, std::move(parts), std::move(log));
}

} // namespace wisteriayard
