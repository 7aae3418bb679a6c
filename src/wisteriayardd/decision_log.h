#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"
#include "wisteriayard/view.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

/// @name Logged inputs of decisions, from which `wisteriayardctl audit verify --replay` recomputes them
/// @{

/// Inputs of authentication.
nlohmann::json keyInputs(const ConfigView& view, const KeyHash& key);

/// Inputs of classification.
nlohmann::json classificationInputs(const RequestAttributes& request, Revision contractRevision);

/// Inputs of a scheduling decision.
/// @param waited time since the request was submitted for this attempt
nlohmann::json waitInputs(
    const AccountId& account, const RequestClass& requestClass, Revision contractRevision, Duration waited);

/// @}

} // namespace wisteriayard
