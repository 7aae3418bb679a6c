#pragma once

#include "settings.h"
#include "usage_reporter.h"

namespace wisteriayard {

/// Makes the reporter of an entry with the settings of the daemon.
std::shared_ptr<UsageReporter> makeUsageReporter(
    boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log);

} // namespace wisteriayard
