#pragma once

#include "platform_port.h"

#include <functional>
#include <string>

namespace wisteriayard {

/// What a gateway process is started with.
struct GatewayOptions {
    /// Reads the settings anew.
    std::function<Result<GatewaySettings>()> loadSettings;
    /// Port for metrics on the address for callers; 0 for none.
    std::uint16_t metricsPort = 0;
};

/// Runs a gateway until a signal ends it.
/// @return exit status: 0 after a shutdown by signal, 1 if it could not start
int runGateway(const GatewaySettings& settings, const PlatformPort& platform, const GatewayOptions& options);

} // namespace wisteriayard
