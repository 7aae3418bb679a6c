#pragma once

#include "settings.h"
#include "usage_reporter.h"

namespace wisteriayard {

/// Creates the usage reporter of an entry from its settings.
std::shared_ptr<UsageReporter> makeUsageReporter(
    boost::asio::io_context& io, const EntrySettings& settings, std::shared_ptr<EventLog> log);

} // namespace wisteriayard
