#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Hash of a call's account and idempotency key; raw bytes.
using OnceKey = StrongString<struct OnceKeyTag>;
/// Hash of a call's request; raw bytes.
using OnceFingerprint = StrongString<struct OnceFingerprintTag>;
/// Identifies a call within one process; not reused while the process runs.
using OnceCallId = StrongNumber<struct OnceCallIdTag, std::uint64_t>;
/// Wall-clock time in milliseconds. Retention outlives processes, so it can't use the monotonic clock of one machine.
using WallTime = StrongNumber<struct WallTimeTag, std::int64_t>;

/// A call that may run at most once.
struct OnceCall {
    OnceCallId id;
    OnceKey key;
    OnceFingerprint fingerprint;
};

/// A service's answer.
struct OnceAnswer {
    unsigned status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const OnceAnswer&, const OnceAnswer&) = default;
};

/// The intent is stored: send the call to the service exactly once.
struct OnceExecute {
    OnceCallId call;
};

/// The call ran earlier; return its stored answer.
struct OnceAnswerFromRecord {
    OnceCallId call;
    OnceAnswer answer;
};

/// Why a call was refused. A refused call has not run and will not run.
enum class OnceRefusalReason {
    StoreUnavailable,
    LogFull,
    NotOwner,
};

/// Refuse the call as `not_run`.
struct OnceRefuse {
    OnceCallId call;
    OnceRefusalReason reason = OnceRefusalReason::StoreUnavailable;
};

/// Why the outcome of a call is unknown.
enum class OnceUnknownReason {
    /// A call with this key is still in progress.
    Running,
    /// The intent of this process or of a former owner has no known result.
    NoResult,
    /// The call ran, but its answer is not stored, because of its size or that of the log.
    AnswerNotKept,
    /// It is unknown whether the intent was stored.
    IntentIndeterminate,
};

/// Answer the call with the outcome `unknown`.
struct OnceAnswerUnknown {
    OnceCallId call;
    OnceUnknownReason reason = OnceUnknownReason::Running;
};

/// The idempotency key belongs to a different request; this one has not run.
struct OnceKeyReused {
    OnceCallId call;
};

/// What to do with a submitted call.
using OnceDecision = std::variant<OnceExecute, OnceAnswerFromRecord, OnceRefuse, OnceAnswerUnknown, OnceKeyReused>;

/// Limits of the log of one partition.
struct OnceLimits {
    /// Time from its intent for which a key is kept. After that a repeat counts as a new call.
    Duration retention = std::chrono::hours(24);
    /// Maximum size of the stored value. At the limit the oldest answers are dropped first, then new calls are refused.
    Bytes maxValue { 1'000'000 };
    /// Larger answers are not stored.
    Bytes maxAnswer { 2048 };
};

/// Owner of a partition according to the store.
struct OnceOwner {
    Epoch epoch;
    /// Empty after a planned release.
    EndpointId endpoint;
    std::uint64_t incarnation = 0;

    friend bool operator==(const OnceOwner&, const OnceOwner&) = default;
};

/// The at-most-once log of one partition at its owner.
///
/// Performs no I/O. Calls that arrive during a write are grouped into the next one. Each write replaces the whole
/// value if the revision of the previous write still matches, so a late write or a write of a former owner can't
/// take effect.
class OnceLog {
public:
    using Decisions = std::vector<OnceDecision>;

    /// Decodes the owner from a stored value.
    static Result<OnceOwner> ownerOf(std::string_view value);

    /// Creates an empty log.
    OnceLog(OnceOwner owner, OnceLimits limits);
    /// Loads the calls of a stored value. Intents without a result become unresolved permanently.
    Status load(std::string_view value);

    /// Submits a call.
    /// @return nothing if the intent is queued for the next write
    std::optional<OnceDecision> submit(const OnceCall& call, WallTime now);
    /// Records the answer of the service; ignored if the partition has changed owner.
    void recordAnswer(OnceCallId call, OnceAnswer answer);
    /// Marks a call that was sent but whose outcome is unknown.
    void markUnresolved(OnceCallId call);
    /// Removes a call that was not sent and will not be sent; its key may be used again.
    void cancel(OnceCallId call);

    /// Starts the next write.
    /// @return the value to store; nothing if there are no changes or a write is in flight
    std::optional<std::string> beginWrite(WallTime now);
    /// Handles a write that took effect.
    Decisions writeCommitted();
    /// Handles a write that has not taken effect and can't take effect any more.
    Decisions writeFailed();
    /// Handles a write whose outcome is unknown: queued and new calls are refused until the outcome is known.
    Decisions writeIndeterminate();
    /// Answers the calls of an indeterminate write with `unknown`. They are cancelled if the write turns out to have
    /// taken effect.
    Decisions abandonIndeterminateWrite();
    /// Handles the loss of ownership to another process.
    /// @param value the current stored value
    Decisions fenced(std::string_view value);

    /// Returns the value that claims the partition, before the first write.
    std::string claimValue() const;
    /// Returns the value that releases ownership. Must not be called while calls are open.
    std::string releaseValue() const;

    const OnceOwner& owner() const { return m_owner; }
    /// Number of calls without a final state.
    std::size_t openCalls() const;
    /// Whether there are changes that no write contains yet.
    bool needsWrite() const { return m_dirty; }

private:
    enum class Phase {
        Queued,
        Writing,
        Executing,
        /// The result of the call will never be known.
        Unresolved,
        Finished,
    };
    struct Entry {
        OnceCallId call;
        OnceFingerprint fingerprint;
        WallTime intentTime;
        Phase phase = Phase::Queued;
        /// The caller was answered with `unknown` during an indeterminate write.
        bool abandoned = false;
        std::optional<OnceAnswer> answer;
    };

    OnceDecision decideRepeat(const OnceCall& call, const Entry& entry) const;
    Entry* executingEntry(OnceCallId call);
    Decisions refusePending(bool writingToo, OnceRefusalReason reason);
    bool expired(const Entry& entry, WallTime now) const;
    std::map<OnceKey, Entry>::iterator erase(std::map<OnceKey, Entry>::iterator entry);
    void dropExpired(WallTime now);
    bool ensureCapacity(WallTime now);
    std::string encode(const OnceOwner& owner) const;

    OnceOwner m_owner;
    OnceLimits m_limits;
    std::map<OnceKey, Entry> m_entries;
    /// Keys of the calls without a final state.
    std::map<OnceCallId, OnceKey> m_open;
    /// Upper bound of the encoded size in bytes.
    std::int64_t m_encodedSizeBound = 0;
    bool m_dirty = false;
    bool m_writeInFlight = false;
    bool m_writeIndeterminate = false;
};

} // namespace wisteriayard
