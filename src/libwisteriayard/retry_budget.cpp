#include "wisteriayard/retry_budget.h"

#include <algorithm>

namespace wisteriayard {

namespace {

    std::int64_t secondOf(TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }

} // namespace

RetryPolicy sharedRetryPolicy(RetryPolicy total, std::size_t entries)
{
    double share = entries == 0 ? 0 : total.minRetries / static_cast<double>(entries);
    return { total.ratio, share };
}

RetryBudget::Bucket& RetryBudget::bucketAt(TimePoint now)
{
    std::int64_t second = secondOf(now);
    Bucket& bucket = m_buckets[static_cast<std::size_t>(second) % windowSeconds];
    if (bucket.second != second)
        bucket = { second, 0, 0 };
    return bucket;
}

void RetryBudget::recordRequest(TimePoint now) { ++bucketAt(now).requests; }

RetryBudget::Bucket RetryBudget::sum(TimePoint now) const
{
    Bucket total;
    std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(windowSeconds);
    for (const Bucket& each : m_buckets) {
        if (each.second <= oldest)
            continue;
        total.requests += each.requests;
        total.retries += each.retries;
    }
    return total;
}

bool RetryBudget::tryAcquireRetry(TimePoint now)
{
    Bucket total = sum(now);
    auto next = static_cast<double>(total.retries + 1);
    if (next > m_policy.minRetries && next > m_policy.ratio * static_cast<double>(total.requests))
        return false;
    ++bucketAt(now).retries;
    return true;
}

RetryUse RetryBudget::use(TimePoint now) const
{
    Bucket total = sum(now);
    return { static_cast<double>(total.retries),
        std::max(m_policy.minRetries, m_policy.ratio * static_cast<double>(total.requests)) };
}

} // namespace wisteriayard
