#include "wisteriayard/retry_budget.h"

namespace wisteriayard {

namespace {

    std::int64_t secondOf(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }

} // namespace

RetryBudget::Second& RetryBudget::at(TimePoint now)
{
    std::int64_t second = secondOf(now);
    Second& slot = m_seconds[static_cast<std::size_t>(second) % seconds];
    if (slot.second != second)
        slot = { second, 0, 0 };
    return slot;
}

void RetryBudget::recordRequest(TimePoint now) { ++at(now).requests; }

bool RetryBudget::tryAcquireRetry(TimePoint now)
{
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(seconds);
    for (const Second& each : m_seconds) {
        if (each.second <= oldest)
            continue;
        requests += each.requests;
        retries += each.retries;
    }
    auto next = static_cast<double>(retries + 1);
    if (next > m_policy.minRetries && next > m_policy.ratio * static_cast<double>(requests))
        return false;
    ++at(now).retries;
    return true;
}

} // namespace wisteriayard
