#pragma once

#include "gateway_state.h"

#include <nlohmann/json.hpp>

#include <string>

namespace wisteriayard {

/// Answers where a request would be sent now, for `wisteriayardctl where`. Sends nothing and changes no state.
/// @param query JSON object with `route` and optionally `account`, `prompt` (list of `id`, hexadecimal, and `tokens`),
/// `output_tokens` and `time_left_ms`
/// @return the report as JSON; InvalidArgument for a malformed query, NotFound for an unknown route or account,
/// Unavailable before the first configuration
Result<nlohmann::json> explainPlacement(GatewayState& state, const std::string& query, TimePoint now);

} // namespace wisteriayard
