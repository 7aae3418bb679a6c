#pragma once

#include "wisteriayard/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wisteriayard {

/// Number of retries that a budget allows in ten seconds.
struct RetryPolicy {
    /// Maximum ratio of retries to requests.
    double ratio = 0.1;
    /// Number of retries allowed however few requests there are.
    double minRetries = 3;
};

/// Policy of one of several entries that keep a limit on retries together.
/// @param total limit on the retries of all entries together
/// @param entries number of entries that share the limit, including this one; 0 as long as it is not known, for which
/// only a share of this entry's own requests is allowed
RetryPolicy sharedRetryPolicy(RetryPolicy total, std::size_t entries);

/// Retries of the last ten seconds.
struct RetryUse {
    double made = 0;
    double allowed = 0;
};

/// Limits retries to a share of the requests of the last ten seconds.
class RetryBudget {
public:
    RetryBudget() = default;
    explicit RetryBudget(RetryPolicy policy)
        : m_policy(policy)
    {
    }

    void setPolicy(RetryPolicy policy) { m_policy = policy; }
    void recordRequest(TimePoint now);
    /// Counts one retry if the budget allows it.
    /// @return false if the budget is exhausted
    bool tryAcquireRetry(TimePoint now);
    RetryUse use(TimePoint now) const;

private:
    static constexpr std::size_t windowSeconds = 10;
    /// Counts of one second; `second` is -1 while the bucket is unused.
    struct Bucket {
        std::int64_t second = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    /// Counts of the last ten seconds.
    Bucket sum(TimePoint now) const;
    /// Returns the bucket of the current second, cleared if it holds an earlier one.
    Bucket& bucketAt(TimePoint now);

    RetryPolicy m_policy;
    std::array<Bucket, windowSeconds> m_buckets {};
};

} // namespace wisteriayard
