#pragma once

#include "wisteriayard/cached_segments.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// A refused request whose caller was asked to retry, as reported to other entries.
struct ReturningCaller {
    /// Tag of the last segment of the prompt, which stays the same when the request is retried with a new id.
    SegmentTag segment {};
    /// Time until the retry.
    Duration in {};

    friend bool operator==(const ReturningCaller&, const ReturningCaller&) = default;
};

/// Requests that entries refused as overloaded, and when they may be retried.
///
/// Load pattern: callers retry once, at the time they were given and usually at another entry. Of 787 attempts that
/// were refused in one run, 255 were retries, whose callers gave up.
class RefusedCallers {
public:
    static constexpr std::size_t defaultCapacity = 4096;
    /// Limit on the records in one report to other entries.
    static constexpr std::size_t maxReported = 64;
    /// Time after its retry time for which a record is kept.
    static constexpr Duration lifetime = std::chrono::seconds(2);

    explicit RefusedCallers(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    /// Whether a request is retried at its time or later.
    bool isDue(SegmentTag segment, TimePoint now) const;
    /// Records a refusal. A request that was retried too early keeps its time.
    /// @return time at which the request may be retried
    TimePoint refused(SegmentTag segment, TimePoint retryAt, TimePoint now);
    /// Number of refusals of a request that this entry knows.
    int refusals(SegmentTag segment, TimePoint now) const;
    /// Records that a request was placed.
    void placed(SegmentTag segment);
    /// Whether there are records that were not reported yet.
    bool hasNews() const { return !m_unreported.empty(); }
    /// Takes the records for one report to other entries.
    std::vector<ReturningCaller> takeReport(TimePoint now);
    /// Applies the report of another entry.
    void applyReport(const std::vector<ReturningCaller>& report, TimePoint now);
    std::size_t size() const { return m_records.size(); }

private:
    struct Record {
        SegmentTag segment {};
        TimePoint retryAt {};
        int refusals = 0;
    };

    const Record* find(SegmentTag segment, TimePoint now) const;
    /// Adds a record, or changes the retry time of the known one.
    Record& put(SegmentTag segment, TimePoint retryAt, TimePoint now);

    std::size_t m_capacity;
    /// Records in the order in which they were added.
    std::map<std::uint64_t, Record> m_records;
    std::unordered_map<SegmentTag, std::uint64_t> m_index;
    std::uint64_t m_next = 0;
    std::deque<SegmentTag> m_unreported;
};

/// Limits the engine time of retries that are placed although their first event will be late, so that they can't make
/// all first-time requests late.
class ReturnBudget {
public:
    /// @param share share of the entry's work that late retries may be; 0 permits none
    explicit ReturnBudget(double share)
        : m_share(share)
        , m_left(share > 0 ? most : Duration(0))
    {
    }

    /// Records engine time of placed requests, a share of which may be spent on late retries.
    void recordWork(Duration work);
    /// Takes the engine time of a late retry.
    /// @param leavesHalf the account gets more than its share, so that half of the budget is left to others
    /// @return false if the budget is exhausted
    [[nodiscard]] bool tryTake(Duration work, bool leavesHalf = false);

private:
    /// Limit for the saved budget: the engine time of a few long prompts.
    static constexpr Duration most = std::chrono::milliseconds(500);

    double m_share;
    /// A retry may use it up to below zero, so that long prompts are not excluded.
    Duration m_left;
};

/// Chooses the times at which refused callers may retry, so that they return at the rate at which capacity becomes
/// available, and not all at the same instant.
class ReturnTimes {
public:
    /// @param earliest time until the engines have computed the backlog above what is admitted
    /// @param spacing time in which the engines can compute one more request of this entry
    /// @param longest limit for the result
    /// @return delay after which the next refused caller may retry
    Duration next(Duration earliest, Duration spacing, Duration longest, TimePoint now);

private:
    TimePoint m_next {};
    double m_position = 0;
};

} // namespace wisteriayard
