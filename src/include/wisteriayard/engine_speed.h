#pragma once

#include "wisteriayard/first_token_times.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace wisteriayard {

/// Speed of an engine as one entry measured it.
struct SpeedReport {
    /// Time to compute one prompt token, and time between two events of a stream, in microseconds; 0 if not known.
    double tokenTime = 0;
    double eventTime = 0;
    /// Age of the latest sample.
    Duration age {};
};

/// Kind of prompts that an engine computes. Its times depend on it: long prompts slow the streams beside them, and
/// streams slow the prompts.
enum class EngineRole : std::uint8_t {
    AllPrompts,
    LongPrompts,
    ShortPrompts,
};

/// Estimates how fast the engines of one service are, from the responses to this entry and from reports of others.
///
/// Load pattern: some engines run at half the speed of the others, and some responses are slow at random. Each engine
/// has a factor to the mean of the engines with its role. It is 1 until samples show a difference beyond their spread,
/// and returns to 1 as they age: an engine that was slow gets requests again, which measure it anew.
class EngineSpeed {
public:
    /// Logarithm of an engine's ratio to the mean, with its weight in samples.
    struct Difference {
        double mean = 0;
        double weight = 0;
    };
    /// Logarithm of the ratio to the mean of the service: mean and variance of samples that lose weight with age.
    class Ratio {
    public:
        void add(double sample, double weight, TimePoint now);
        double weight(TimePoint now) const;
        double mean() const { return m_mean; }
        double variance() const;
        TimePoint sampledAt() const { return m_at; }

    private:
        double m_mean = 0;
        double m_squares = 0;
        double m_weight = 0;
        TimePoint m_at {};
    };
    /// Reports of other entries about one quantity of an engine.
    class PeerRatios {
    public:
        /// Replaces the report of a peer.
        /// @param ratio logarithm of the ratio to the mean
        void set(const InstanceId& peer, double ratio, TimePoint at) { m_reports[peer] = { ratio, at }; }
        /// Median of the reports and their weight in samples; the weight is 0 without recent reports.
        Difference summary(TimePoint now);

    private:
        std::map<InstanceId, std::pair<double, TimePoint>> m_reports;
        Difference m_summary;
        TimePoint m_summarizedAt {};
        std::size_t m_summarized = 0;
    };
    /// One quantity of an engine: samples, reports of other entries, and the factor to the mean that follows from them.
    struct Quantity {
        Ratio own;
        mutable PeerRatios peers;
        /// Result of factor(), which is used again for a short time.
        mutable double factor = 1;
        mutable TimePoint factorUntil {};
    };
    /// What is known of one engine. A new one knows nothing.
    struct Engine {
        EngineRole role = EngineRole::AllPrompts;
        /// Moving average of the time per token of this entry's recent samples, in microseconds.
        double tokenTime = 0;
        TimePoint tokenTimeAt {};
        Quantity tokens;
        Quantity events;
    };

    /// @param tokenTimeLifetime time constant with which the recent samples of an engine decay
    /// @param sharesFirstTimes the mean time per token follows the reports of other entries until there are enough own
    /// samples
    explicit EngineSpeed(Duration tokenTimeLifetime, bool sharesFirstTimes = false);

    /// Time to compute one prompt token, in microseconds.
    double tokenTime(const Engine& engine, TimePoint now) const;
    /// The mean of the service.
    double meanTokenTime() const { return m_tokenTime; }
    /// Whether the mean would follow the first samples, and no entry has reported any: it is an assumption.
    bool isAssumed() const { return m_sharesFirstTimes && m_isAssumed; }
    void setSharesFirstTimes(bool shares) { m_sharesFirstTimes = shares; }
    /// Time to the first event without prompt tokens to compute, in microseconds.
    double baseTime() const { return m_baseTime; }
    /// Time between two events of a stream, in microseconds.
    double eventTime(const Engine& engine, TimePoint now) const;
    /// The mean of the service.
    double meanEventTime() const { return m_eventTime; }

    /// The same as eventTime() without regard to how certain the difference to the mean is, to compare with an
    /// objective.
    double pauseTime(const Engine& engine, TimePoint now) const;
    /// Whether pauseTime() may reach a limit. This costs much less than pauseTime() and is false for most engines.
    bool mayPauseLonger(const Engine& engine, Duration limit, TimePoint now) const;

    /// Records the first event of a request.
    /// @param tokens tokens that the engine had to compute before, for all requests that this entry knew
    /// @param elapsed time since the request was placed
    void recordFirstEvent(Engine& engine, std::int64_t tokens, Duration elapsed, TimePoint now);
    /// Records events of a stream after the first one.
    void recordEvents(Engine& engine, std::size_t count, Duration sincePrevious, TimePoint now);

    /// Whether the engine is known to be faster or slower than the mean.
    bool differs(const Engine& engine, TimePoint now) const;

    /// Estimate from this entry's own samples, if there are recent ones.
    std::optional<SpeedReport> report(const Engine& engine, TimePoint now) const;
    /// Records the report of another entry; values out of range are limited.
    void applyReport(Engine& engine, const InstanceId& peer, const SpeedReport& report, TimePoint now);
    /// The same for one of several reports. Call reportsAdded() after the last one: the mean time per token follows
    /// the first times of all entries, and is computed once.
    void addReport(Engine& engine, const InstanceId& peer, const SpeedReport& report, TimePoint now);
    void reportsAdded(TimePoint now);

private:
    static Difference difference(const Quantity& quantity, TimePoint now);
    /// Factor to the mean, as far as the difference is certain.
    static double factor(const Quantity& quantity, TimePoint now);
    static double computeFactor(const Quantity& quantity, TimePoint now);

    /// Whether the mean time per token is that of the first samples and reports.
    bool usesFirstTimes() const { return m_sharesFirstTimes && !m_firstTimes.isComplete(); }
    /// Sets the mean time per token from the first samples and reports, if there are enough of them.
    void applyFirstTimes(TimePoint now);

    Duration m_tokenTimeLifetime;
    bool m_sharesFirstTimes;
    bool m_isAssumed = true;
    FirstTokenTimes m_firstTimes;
    bool m_hasNewFirstTimes = false;
    /// Moving averages over all engines, in microseconds. That of the time per token follows the lower samples.
    double m_tokenTime;
    double m_baseTime;
    double m_eventTime;
    /// Logarithm of the mean sample, from which the ratios of engines are measured.
    struct Reference {
        double mean = 0;
        int samples = 0;

        /// @return logarithm of the ratio of a sample to the mean, which then follows the sample
        double ratio(double sample);
    };
    /// By role: compared with all engines, those for short prompts would seem slow, because streams run beside the
    /// prompts there, and their requests would go to the engines for long ones.
    std::array<Reference, 3> m_meanTokens;
    std::array<Reference, 3> m_meanEvents;
};

} // namespace wisteriayard
