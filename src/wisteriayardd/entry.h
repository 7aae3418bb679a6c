#pragma once

#include "settings.h"

namespace wisteriayard {

/// Runs an entry instance until SIGTERM or SIGINT and its graceful shutdown.
/// @return exit code of the process
int runEntry(const EntrySettings& settings);

} // namespace wisteriayard
