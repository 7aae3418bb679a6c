#pragma once

#include "settings.h"

namespace wisteriayard {

/// Runs the agent of an endpoint until SIGTERM or SIGINT and its graceful shutdown.
/// @return exit code of the process
int runAgent(const AgentSettings& settings);

} // namespace wisteriayard
