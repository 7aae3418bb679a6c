#pragma once

#include "settings.h"

namespace wisteriayard {

/// Runs the agent of an endpoint until the graceful shutdown after SIGTERM or SIGINT is complete.
/// @return exit status of the process
int runAgent(const AgentSettings& settings);

} // namespace wisteriayard
