#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"
#include "wisteriayard/view.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

/// Inputs and rule of a logged decision, so that `wisteriayardctl audit verify --replay` can recompute it.
/// @{

/// Inputs of the authentication.
nlohmann::json keyInputs(const ConfigView& view, const KeyHash& key);

/// Inputs of the classification.
nlohmann::json shapeInputs(const RequestAttributes& shape, Revision contractRevision);

/// Inputs of a decision about a request that waits for an endpoint.
/// @param waited time since it was submitted for this attempt
nlohmann::json waitInputs(
    const AccountId& account, const RequestClass& requestClass, Revision contractRevision, Duration waited);

/// @}

} // namespace wisteriayard
