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
/// A call at one process, unique during its life.
using OnceCallId = StrongNumber<struct OnceCallIdTag, std::uint64_t>;
/// Milliseconds of the wall clock. Retention outlives processes, so it can't count on a clock of one machine.
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

/// The intent is in the store: send the call to the service, once.
struct OnceExecute {
    OnceCallId call;
};

/// The call ran earlier; this is its answer.
struct OnceAnswerFromRecord {
    OnceCallId call;
    OnceAnswer answer;
};

/// Why a call was refused; it never ran and never will.
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
    /// A call with this key runs now.
    Running,
    /// An intent without a result, of this process or of an earlier owner.
    NoResult,
    /// It ran, but its answer was too large to keep.
    AnswerNotKept,
    /// The write of the intent was not answered.
    IntentInDoubt,
};

/// Answer the call with outcome `unknown`.
struct OnceAnswerUnknown {
    OnceCallId call;
    OnceUnknownReason reason = OnceUnknownReason::Running;
};

/// The key was used for another request; this one never ran.
struct OnceKeyReused {
    OnceCallId call;
};

/// A decision about a call that was submitted.
using OnceDecision = std::variant<OnceExecute, OnceAnswerFromRecord, OnceRefuse, OnceAnswerUnknown, OnceKeyReused>;

/// Bounds of one partition's log.
struct OnceLimits {
    /// Keys are remembered for this long after their intent; a later repeat is a new call.
    Duration retention = std::chrono::hours(24);
    /// Largest value in the store. At the limit the oldest answers are dropped first, then calls are refused.
    Bytes maxValue { 1'000'000 };
    /// Larger answers are not kept.
    Bytes maxAnswer { 2048 };
};

/// Owner of a partition as the store has it.
struct OnceOwner {
    Epoch epoch;
    /// Empty after a planned release.
    EndpointId endpoint;
    std::uint64_t incarnation = 0;

    friend bool operator==(const OnceOwner&, const OnceOwner&) = default;
};

/// The at-most-once log of one partition at its owner.
///
/// Free of input and output. Calls that arrive while a write is under way go into the next one. The whole value
/// is written each time, with a compare on the revision of the last write; so a write that is late or of a former
/// owner can't take effect.
class OnceLog {
public:
    using Decisions = std::vector<OnceDecision>;

    /// Reads the owner of a stored value.
    static Result<OnceOwner> ownerOf(std::string_view value);

    /// An empty log.
    OnceLog(OnceOwner owner, OnceLimits limits);
    /// Takes over the calls of a stored value; its open intents stay without a result for good.
    Status load(std::string_view value);

    /// Takes in a call. No decision means that its intent waits for a write.
    std::optional<OnceDecision> submit(const OnceCall& call, WallTime now);
    /// The service answered.
    void finished(OnceCallId call, OnceAnswer answer);
    /// The call was sent, but its outcome is not known.
    void lost(OnceCallId call);
    /// The call was not sent and won't be; its key may be used again.
    void cancelled(OnceCallId call);

    /// Value to be written next.
    /// @return nothing if nothing changed or a write is under way
    std::optional<std::string> nextWrite(WallTime now);
    /// The write took effect.
    Decisions written();
    /// The write did not take effect and never will.
    Decisions notWritten();
    /// The write was not answered: calls of later writes are refused until it is settled.
    Decisions writeInDoubt();
    /// The write can't be settled now: its calls are answered, and cancelled if it proves to have taken effect.
    Decisions doubtLasts();
    /// Another process owns the partition.
    /// @param value the stored value now
    Decisions fenced(std::string_view value);

    /// Value that claims the partition, before the first write.
    std::string claimed() const;
    /// Value that gives up ownership. Only without open calls.
    std::string released() const;

    const OnceOwner& owner() const { return m_owner; }
    /// Calls without a final state.
    std::size_t openCalls() const;
    /// A write is due.
    bool dirty() const { return m_dirty; }

private:
    enum class Phase {
        Queued,
        Writing,
        Open,
        /// An intent whose result will never be known.
        Unresolved,
        Finished,
    };
    struct Entry {
        OnceCallId call;
        OnceFingerprint fingerprint;
        WallTime intent;
        Phase phase = Phase::Queued;
        /// The caller was answered while the intent was in doubt.
        bool abandoned = false;
        std::optional<OnceAnswer> answer;
    };

    OnceDecision repeated(const OnceCall& call, const Entry& entry) const;
    Entry* openEntry(OnceCallId call);
    Decisions refuse(bool writingToo, OnceRefusalReason reason);
    bool expired(const Entry& entry, WallTime now) const;
    std::map<OnceKey, Entry>::iterator erase(std::map<OnceKey, Entry>::iterator entry);
    void dropExpired(WallTime now);
    bool makeRoom(WallTime now);
    std::string encode(const OnceOwner& owner) const;

    OnceOwner m_owner;
    OnceLimits m_limits;
    std::map<OnceKey, Entry> m_entries;
    /// Keys of calls that are not final, by call.
    std::map<OnceCallId, OnceKey> m_open;
    /// Upper estimate of the encoded size.
    std::int64_t m_bytes = 0;
    bool m_dirty = false;
    bool m_writing = false;
    bool m_inDoubt = false;
};

} // namespace wisteriayard
