#include "wisteriayard/scheduler.h"

#include <cmath>

namespace wisteriayard {

namespace {

    constexpr std::int64_t maxTokens = 100'000'000;
    constexpr Duration maxDuration = std::chrono::hours(24 * 7);
    constexpr double maxWeight = 1e6;
    constexpr double minWeight = 1e-6;

    bool valid(Tokens tokens) { return tokens.value() >= 0 && tokens.value() <= maxTokens; }
    bool valid(Duration time) { return time >= Duration(0) && time <= maxDuration; }
    bool valid(const std::optional<Duration>& time) { return !time || valid(*time); }

    Status invalid(const char* field, const char* allowed)
    {
        return fail(Errc::InvalidArgument, std::string("request: ") + field + " must be " + allowed);
    }

} // namespace

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::WaitExceeded:
        return "wait_exceeded";
    case RefusalReason::TargetMissed:
        return "target_missed";
    case RefusalReason::NoEndpoint:
        return "no_endpoint";
    case RefusalReason::LimitExceeded:
        return "limit_exceeded";
    case RefusalReason::Duplicate:
        return "duplicate";
    case RefusalReason::RetryBudget:
        return "retry_budget";
    case RefusalReason::Invalid:
        return "invalid";
    }
    return "unknown";
}

Status validate(const RequestInfo& request)
{
    if (request.id.empty() || request.account.empty() || request.target.empty())
        return invalid("id, account and target", "set");
    if (!std::isfinite(request.weight) || request.weight < minWeight || request.weight > maxWeight)
        return invalid("weight", "from 1e-6 to 1e6");
    if (static_cast<std::size_t>(request.tier) >= tierCount || request.priority.value() < 0)
        return invalid("tier and priority", "in range");
    bool tokens = valid(request.promptTokens) && valid(request.prefixTokens) && valid(request.expectedOutput)
        && valid(request.delivered);
    if (!tokens || request.prefixTokens > request.promptTokens)
        return invalid("token counts", "from 0 to 1e8, and the prefix no longer than the prompt");
    if (!valid(request.longestWait) || !valid(request.firstTokenTarget) || !valid(request.totalTarget))
        return invalid("durations", "from 0 to 7 days");
    return boost::outcome_v2::success();
}

} // namespace wisteriayard
