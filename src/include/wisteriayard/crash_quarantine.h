#pragma once

#include "wisteriayard/cached_segments.h"
#include "wisteriayard/units.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisteriayard {

/// Short hash of what may make endpoints crash: a prompt segment, or a request as a whole.
enum class SuspectTag : std::uint32_t {};
/// @param segment id of a prompt segment
SuspectTag segmentSuspect(std::uint64_t segment);
/// Whether a tag is that of a request as a whole.
bool isRequest(SuspectTag tag);
/// Tag of a request by its content; a caller that repeats it gives it another id.
/// @param target path and query
/// @param caller key of the caller, so that callers can't make each other's requests suspect; empty for anonymous ones
SuspectTag requestSuspect(
    std::string_view method, std::string_view target, std::string_view caller, std::string_view body);

/// Short hash of one incarnation of an endpoint that crashed.
enum class CrashTag : std::uint32_t {};

/// An endpoint crashed before it began to answer a request with this segment.
struct CrashObservation {
    SuspectTag tag {};
    CrashTag crash {};
    /// Time since the crash.
    Duration age {};
};

/// An endpoint began to answer a request with this segment.
struct BeginObservation {
    SuspectTag tag {};
    /// Time since the first event of the answer.
    Duration age {};
};

/// A segment that is in quarantine.
struct QuarantinedSuspect {
    SuspectTag tag {};
    /// Time since the first crash that counts against it.
    Duration age {};
    /// Time since the last crash or trial.
    Duration quiet {};
};

/// What an entry knows of segments that may crash engines, for other entries.
struct QuarantineReport {
    std::vector<CrashObservation> crashes;
    std::vector<BeginObservation> begins;
    std::vector<QuarantinedSuspect> quarantined;

    /// Adds the observations of another report; of several for a segment, the newest answer and quarantine are kept.
    /// @param age time since the other report was received
    void add(const QuarantineReport& other, Duration age);
    bool empty() const { return crashes.empty() && begins.empty() && quarantined.empty(); }
};

/// How requests with a suspect are treated.
enum class SuspectState {
    /// They are sent.
    Free,
    /// Many endpoints crashed at the same moment: requests are sent one after another until one of them shows whether
    /// they are the cause.
    OnProbation,
    /// They are refused, but for rare trials.
    Quarantined,
};

/// A change that is to be logged.
struct QuarantineChange {
    SuspectTag tag {};
    SuspectState former = SuspectState::Free;
    SuspectState state = SuspectState::Free;
    /// Number of crashes that count against the suspect.
    std::size_t crashes = 0;
};

/// Position of an entry in the order in which entries may send a request on trial.
struct TrialTurn {
    std::size_t position = 0;
    /// Number of entries that take turns, at least 1.
    std::size_t entries = 1;
};

/// Timing of the quarantine.
struct QuarantineTimes {
    /// Crashes closer together count as one: the failure of many endpoints at the same moment has another cause.
    Duration separation = std::chrono::milliseconds(300);
    /// Lifetime of observations.
    Duration memory = std::chrono::seconds(60);
    /// Time for which an own observation is reported to other entries; several rounds of reports in a large fleet.
    Duration reporting = std::chrono::seconds(4);
    /// Time after which one request with a suspect in quarantine may be sent, to find out whether it still crashes
    /// endpoints. Doubles with each further crash.
    Duration firstTrial = std::chrono::seconds(20);
    Duration longestTrialInterval = std::chrono::minutes(10);
    /// Entries take turns in sending the request, until one of them has a request with the suspect. Copies of a request
    /// may come at the same moment at many entries, so a turn ends when the next one begins.
    Duration trialTurn = std::chrono::seconds(4);
    /// Time after crashes at the same moment within which answers clear the suspects that are in regular use.
    Duration probationDelay = std::chrono::milliseconds(500);
    /// Length of a turn on probation: an engine's restart takes seconds, its answer begins within one.
    Duration probationTurn = std::chrono::seconds(1);
};

/// Decides which requests are not sent because endpoints crash when they run them. What may be the cause, a suspect, is
/// a shared segment of the prompt, or the request as a whole. The rules below are given for segments; a request as a
/// whole is cleared by a complete answer only, since an endpoint may crash after the first events.
///
/// A segment is in quarantine after a number of separate crashes, seen by any entries, at which a request with it
/// waited for its first event, unless an engine has begun to answer a request with it since. Segments that are also
/// part of sound requests are cleared by these. One request at a time may be sent on trial, ever more rarely; if its
/// answer begins, the quarantine ends.
///
/// Crashes at the same moment may have a common cause outside of the requests. A suspect that was aboard at several of
/// them is put on probation: one request at a time is sent, and the next crash puts it in quarantine.
class CrashQuarantine {
public:
    /// Crashes after which a suspect is in quarantine.
    static constexpr std::size_t crashesToQuarantine = 3;
    /// Crashes at the same moment after which a request as a whole, or a segment, is on probation. Sound requests share
    /// segments much more often than they are alike.
    static constexpr std::size_t crashesToProbationOfRequest = 3;
    static constexpr std::size_t crashesToProbationOfSegment = 5;
    /// Limit on the entries that take turns; in larger fleets several share a turn, since a request with a rare suspect
    /// comes at few entries.
    static constexpr std::size_t maxTurns = 6;
    /// Crashes since the last answer after which a request with the suspect is not sent to another endpoint.
    static constexpr std::size_t crashesToRetry = 2;
    /// Limits on the number of suspects, and of segments and requests whose last answer is remembered.
    static constexpr std::size_t maxSuspects = 512;
    static constexpr std::size_t maxRemembered = 8192;
    /// Limit on the observations of each kind in a report.
    static constexpr std::size_t maxReported = 64;

    explicit CrashQuarantine(QuarantineTimes times = {})
        : m_times(times)
    {
    }

    /// Records that an endpoint began to answer a request with these segments, or answered this request completely.
    void answerBegan(const std::vector<SuspectTag>& tags, TimePoint now);
    /// Records that an endpoint crashed while it ran a request with these suspects.
    void endpointCrashed(CrashTag crash, const std::vector<SuspectTag>& tags, TimePoint at, TimePoint now);
    /// Puts a suspect in quarantine that was found earlier, by an entry that is gone.
    void restore(SuspectTag tag, TimePoint now);
    /// Puts a suspect on probation that was on probation at an entry that is gone, for the lifetime of observations.
    void restoreProbation(SuspectTag tag, TimePoint now);

    /// @return this entry's turn to send a request with a suspect on trial
    using TrialOrder = std::function<TrialTurn(SuspectTag)>;
    /// Whether a request with these suspects must not be sent. A request that may be sent on trial counts as sent.
    /// @return time until the request can be tried again; none if it may be sent
    std::optional<Duration> refusal(const std::vector<SuspectTag>& tags, const TrialOrder& order, TimePoint now);
    /// Whether a request with these suspects may be sent to another endpoint after a crash.
    bool mayRetry(const std::vector<SuspectTag>& tags) const;
    bool isQuarantined(SuspectTag tag) const;
    SuspectState state(SuspectTag tag, TimePoint now) const;
    /// Whether any requests may be refused.
    bool mayRefuse() const;
    std::size_t quarantinedCount() const { return m_quarantinedCount; }
    /// Whether anything is suspect. Tags of requests are needed only then.
    bool hasSuspects() const { return !m_suspects.empty(); }
    /// Forgets suspects without recent observations, and releases those in quarantine without a crash or trial for the
    /// longest interval between trials.
    void expire(TimePoint now);
    /// Number of suspects and of remembered answers.
    std::size_t size() const { return m_suspects.size() + m_lastBegin.size(); }

    /// @name Exchange with other entries
    /// @{
    QuarantineReport report(TimePoint now) const;
    void applyReport(const QuarantineReport& report, TimePoint now);
    /// @}
    /// Changes since the last call.
    std::vector<QuarantineChange> takeChanges();

private:
    struct Crash {
        CrashTag tag {};
        TimePoint at {};
        /// Observed by this entry, which reports it to others.
        bool own = false;
    };
    struct Begin {
        TimePoint at {};
        /// Observed by this entry. Only then it is reported: repeated by others, it would seem ever later.
        bool own = false;
    };
    struct Suspect {
        /// In the order of time.
        std::vector<Crash> crashes;
        /// Time of the first crash that counts against the segment in quarantine: an answer that began later ends the
        /// quarantine.
        std::optional<TimePoint> quarantinedSince;
        Duration trialInterval {};
        /// Time of the last crash or trial in quarantine.
        TimePoint lastEvidence {};
        /// Time before which no trial was allowed, so that crashes before it come from requests sent earlier.
        TimePoint firstTrial {};
        TimePoint nextTrial {};
        /// Reported as on probation.
        bool onProbation = false;
        /// Time at which a probation was restored whose crashes are not known.
        std::optional<TimePoint> probationRestored;
        /// Other entries suspect the segment although an answer to it has begun here; it is reported until then.
        TimePoint reportBeginUntil {};

        bool hasCrash(CrashTag crash) const;
    };

    /// Times of the crashes that no request in quarantine explains, in order.
    std::vector<TimePoint> unexplainedCrashes(SuspectTag tag, const Suspect& suspect) const;
    /// Number of these crashes, counting those at the same moment once.
    std::size_t separateCrashes(const std::vector<TimePoint>& crashes) const;
    /// Whether these crashes show that requests with the suspect are their cause.
    bool areConclusive(SuspectTag tag, const std::vector<TimePoint>& crashes) const;
    /// Start of the probation after these crashes; none if they are too few.
    std::optional<TimePoint> probationStart(SuspectTag tag, std::span<const TimePoint> crashes) const;
    bool isOnProbation(SuspectTag tag, const Suspect& suspect, TimePoint now) const;
    /// Records a change of the state of a suspect that is not in quarantine.
    void setProbation(SuspectTag tag, Suspect& suspect, bool onProbation);
    Suspect& suspect(SuspectTag tag, TimePoint now);
    void addCrash(SuspectTag tag, const Crash& crash, TimePoint now);
    /// @param since time of the first crash that counts against the segment
    /// @param lastEvidence time of the last crash or trial
    void quarantine(SuspectTag tag, Suspect& suspect, TimePoint since, TimePoint lastEvidence);
    void release(SuspectTag tag, Suspect& suspect);
    /// Ends the suspicion of a segment by an answer that began.
    void clear(SuspectTag tag, TimePoint begunAt, TimePoint now);
    /// Time until this entry may send a request with a quarantined suspect, or one on probation, on trial; 0 if it may
    /// send it now.
    Duration timeToTrial(SuspectTag tag, const Suspect& suspect, const TrialTurn& turn, TimePoint now) const;
    /// Time at which an answer to a segment began last; the earliest possible time if that is not remembered.
    TimePoint lastBegin(SuspectTag tag, TimePoint now) const;
    void removeOld(TimePoint now);
    bool isOld(const Suspect& suspect, TimePoint now) const;
    /// Whether a request in quarantine was aboard at a crash, so that the crash says nothing about other suspects.
    bool isExplained(SuspectTag tag, CrashTag crash) const;

    QuarantineTimes m_times;
    std::unordered_map<SuspectTag, Suspect> m_suspects;
    std::unordered_map<SuspectTag, Begin> m_lastBegin;
    std::size_t m_quarantinedCount = 0;
    std::vector<QuarantineChange> m_changes;
};

} // namespace wisteriayard
