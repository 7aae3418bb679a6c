#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/limits.h"

namespace wisteriayard {

/// Encodes a budget request.
void packBudgetRequest(const BudgetRequest& request, wire::AccountAsk& message);
/// Decodes a budget request; amounts that are missing or not finite become 0.
BudgetRequest unpackBudgetRequest(const wire::AccountAsk& message);
/// Encodes a budget grant.
void packBudgetGrant(const BudgetGrant& grant, wire::AccountGrant& message);
/// Decodes a budget grant; amounts that are missing, not finite or negative become 0.
BudgetGrant unpackBudgetGrant(const wire::AccountGrant& message);

} // namespace wisteriayard
