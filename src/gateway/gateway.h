#pragma once

#include "platform_port.h"

#include <functional>
#include <string>

namespace wisteriayard {

/// Options of a gateway process.
struct GatewayOptions {
    /// Reads the settings again.
    std::function<Result<GatewaySettings>()> loadSettings;
    /// Port for metrics at the address for callers; 0 disables them.
    std::uint16_t metricsPort = 0;
    /// Maximum ratio of hedged requests to the requests of a service; 0 turns hedging off.
    double hedgeRatio = 0;
    /// Maximum share of an entry's work that retries may be whose first event will be late; 0 refuses them again.
    double lateRetryRatio = 0;
    /// Called once the gateway handles SIGTERM, SIGINT and SIGHUP.
    std::function<void()> signalsHandled;
};

/// Runs a gateway until a signal stops it.
/// @return exit status: 0 after a shutdown by signal, 1 if startup failed
int runGateway(const GatewaySettings& settings, const PlatformPort& platform, const GatewayOptions& options);

} // namespace wisteriayard
