#include "entry_usage.h"

#include "authority_call.h"
#include "clock.h"

namespace wisteriayard {

namespace {

    Duration storeTimeout(const EntrySettings& settings)
    {
        // A store call that takes too large a part of the lease time lets the lease expire.
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
    UsageReporter::Options options;
    options.instance = settings.common.instance;
    options.times.window = settings.usageWindow;
    options.times.partialRecordInterval = settings.partialUsageInterval;
    options.times.grace = settings.usageGrace;
    options.times.retainedWindows = settings.usageRetainedWindows;
    options.lease = settings.lease;
    options.closesWindows = settings.planner;
    options.store = std::make_unique<EtcdStoreClient>(io.get_executor(), settings.common.store, storeTimeout(settings));
    options.sender = [executor = io.get_executor(), platform = settings.common.platform](
                         LeaseKeeper& keeper, WindowId, const std::string& record) {
        return postWithAuthority(executor, keeper, platform, "/v1/usage-reports", reportBody(record, keeper.epoch()));
    };
    options.clock = wallClockMilliseconds;
    return std::make_shared<UsageReporter>(io, std::move(options), std::move(log));
}

} // namespace wisteriayard
