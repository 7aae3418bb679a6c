#pragma once

#include "wisteriayard.pb.h"
#include "wisteriayard/limits.h"

namespace wisteriayard {

/// Packs an ask.
void packAsk(const BudgetRequest& ask, wire::AccountAsk& message);
/// Unpacks an ask; amounts that are absent or no numbers count as 0.
BudgetRequest unpackAsk(const wire::AccountAsk& message);
/// Packs a grant.
void packGrant(const BudgetGrant& grant, wire::AccountGrant& message);
/// Unpacks a grant; amounts that are absent, no numbers or below 0 count as 0.
BudgetGrant unpackGrant(const wire::AccountGrant& message);

} // namespace wisteriayard
