#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/retry_budget.h"
#include "wisteriayard/units.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// Requests whose times are comparable: those of one route at one service.
struct HedgeClass {
    std::string route;
    TargetId target;

    friend auto operator<=>(const HedgeClass&, const HedgeClass&) = default;
};

/// Observed times of the attempts of one class, until their first event or their complete response.
struct HedgeTimes {
    std::size_t samples = 0;
    Duration median {};
    /// Time within which 95 of 100 attempts complete.
    Duration quantile {};
    /// Time after which a request is sent to a second endpoint, at least the quantile.
    Duration delay {};
};

/// Where the second attempt of a request would go.
struct SecondEndpoint {
    /// An endpoint that nothing excludes accepts the request; without one the other members have no meaning.
    bool available = false;
    /// Other requests are processed there first.
    bool queued = false;
    /// It was ejected because its requests failed, and is only used for want of others.
    bool ejected = false;
};

/// A waiting request as an input of the decision.
struct HedgeState {
    /// A request that has been executed may be executed again.
    bool repeatable = false;
    /// The first event of a stream, or the head of another response, has arrived.
    bool answerBegun = false;
    /// The request or a shared segment of its prompt may have crashed endpoints.
    bool suspected = false;
    /// It was sent to a second endpoint before.
    bool hedged = false;
    /// Attempts in which the request may have been or may be executed, including the running one.
    int attempts = 1;
    int maxAttempts = 1;
    /// Time since the beginning of the running attempt.
    Duration elapsed {};
    Duration timeLeft {};
    RetryUse retries;
    /// Absent while it has not been looked for.
    std::optional<SecondEndpoint> second;
};

enum class HedgeDecision {
    Send,
    /// The delay has not passed.
    NotDue,
    NotRepeatable,
    AnswerBegun,
    AlreadyHedged,
    Suspected,
    /// The route's maximum number of attempts is reached.
    AttemptsUsed,
    TooLittleTime,
    TooFewSamples,
    /// So many requests exceed the delay that the whole service has become slower.
    AllSlower,
    /// The service refuses requests, or failed ones use half of its retry budget.
    Shortage,
    /// The ratio of hedged requests is used up.
    RatioUsed,
    /// No other endpoint accepts the request.
    NoEndpoint,
    /// The second endpoint was ejected.
    EndpointEjected,
    /// The second endpoint has a queue.
    EndpointQueue,
    /// Hedged and failed requests together use half of the retry budget.
    RetryBudgetUsed,
};
std::string_view hedgeDecisionName(HedgeDecision decision);
/// Whether a request gets another decision later, because the reason is the current load.
bool mayHedgeLater(HedgeDecision decision);

/// Inputs of a decision that the policy keeps, for log lines.
struct HedgeFigures {
    std::optional<HedgeTimes> times;
    /// Share of the class's recent requests that exceeded the delay.
    double dueShare = 0;
    /// Hedged requests that the ratio allows now.
    double credit = 0;
    /// Credit that one hedged request costs; absent during a shortage.
    std::optional<double> cost;
};

/// Decides which requests of one entry are sent to a second endpoint because the first is slow to answer.
///
/// The ratio is enforced by credit for each service: each request that is placed adds the ratio, each hedged request
/// takes at least one, and there is none at the start. So an entry's hedged requests never exceed the ratio of its own
/// requests, and the sum over any set of entries holds without messages between them.
class HedgePolicy {
public:
    /// Samples below which nothing is known of a class: three of 60 exceed the quantile.
    static constexpr std::size_t minSamples = 60;
    /// Samples kept for each class. The share of samples above the quantile has a standard error of one in a hundred.
    static constexpr std::size_t maxSamples = 512;
    /// Age above which samples are ignored.
    static constexpr Duration maxAge = std::chrono::seconds(30);

    /// @param ratio maximum ratio of hedged requests to requests of a service; 0 turns hedging off
    explicit HedgePolicy(double ratio)
        : m_ratio(ratio)
    {
    }

    bool isEnabled() const { return m_ratio > 0; }
    /// Records that a request was placed at the first endpoint.
    void recordPlaced(const TargetId& target, TimePoint now);
    /// Records that no endpoint of the service was chosen for a request, or that an endpoint refused one.
    void recordRefused(const TargetId& target, TimePoint now);
    /// Records that a request begins to wait, which may be hedged.
    void recordWaiting(const HedgeClass& requests, TimePoint now);
    /// Records that a waiting request exceeded the delay.
    void recordDue(const HedgeClass& requests, TimePoint now);
    /// Records the time of an attempt.
    void recordTime(const HedgeClass& requests, Duration time, TimePoint now);
    /// Records the time after which an attempt was cancelled or timed out. It counts if it exceeds the delay: the share
    /// of samples above the delay then stays that of all attempts, although the slowest are cut short.
    void recordLowerBound(const HedgeClass& requests, Duration time, TimePoint now);
    /// Records that a request was sent to a second endpoint, which takes credit.
    void recordSent(const TargetId& target, const RetryUse& retries, TimePoint now);

    /// @return absent if there are too few recent samples
    std::optional<HedgeTimes> times(const HedgeClass& requests, TimePoint now);
    HedgeFigures figures(const HedgeClass& requests, const RetryUse& retries, TimePoint now);
    HedgeDecision decide(const HedgeClass& requests, const HedgeState& state, TimePoint now);

private:
    /// Counts of the last seconds, in buckets of one second.
    class RecentCounts {
    public:
        void add(TimePoint now);
        /// @param seconds at most the number of buckets
        std::int64_t sum(std::size_t seconds, TimePoint now) const;

    private:
        struct Bucket {
            std::int64_t second = -1;
            std::int64_t count = 0;
        };
        std::array<Bucket, 10> m_buckets {};
    };
    struct Sample {
        Duration time {};
        /// The attempt would have taken longer.
        bool isLowerBound = false;
        TimePoint at {};
    };
    struct ClassState {
        std::vector<Sample> samples;
        /// Position of the oldest sample once all are in use.
        std::size_t oldest = 0;
        RecentCounts waiting;
        RecentCounts due;
        TimePoint usedAt {};
        /// Result of the last evaluation of the samples, and the samples added since.
        std::optional<HedgeTimes> times;
        TimePoint evaluatedAt {};
        std::size_t addedSamples = 0;
    };
    struct ServiceState {
        double credit = 0;
        RecentCounts placed;
        RecentCounts refused;
        RecentCounts sent;
    };

    void addSample(const HedgeClass& requests, const Sample& sample);
    static std::optional<HedgeTimes> evaluate(const std::vector<Sample>& samples, TimePoint now);
    /// State of a class, which is created if it is missing. Removes classes without recent requests.
    ClassState& classState(const HedgeClass& requests, TimePoint now);
    double credit(const ServiceState& service, TimePoint now) const;
    static bool isAllSlower(const ClassState& state, TimePoint now);
    /// Credit that a hedged request costs; absent during a shortage.
    static std::optional<double> cost(const ServiceState& service, const RetryUse& retries, TimePoint now);

    double m_ratio;
    std::map<HedgeClass, ClassState> m_classes;
    std::map<TargetId, ServiceState> m_services;
};

} // namespace wisteriayard
