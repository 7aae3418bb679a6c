#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/units.h"

#include <memory>
#include <optional>
#include <string_view>

namespace wisteriayard {

/// Timing of a lease.
struct LeaseTimes {
    /// Time to live requested from the store.
    Duration timeToLive = std::chrono::seconds(6);
    /// The holder's authority ends this long before the lease expires.
    Duration safetyMargin = std::chrono::seconds(1);
    /// Delay between acquiring the lease and acting on it; timeToLive + safetyMargin by default. Not needed if
    /// receivers reject lower fencing tokens, because late orders of the former holder are then rejected.
    std::optional<Duration> activationDelay = std::nullopt;
    /// A process does not act for this long after it, or a former process of its instance, may have held the lease:
    /// another one may have acted in between, and the receiver can't distinguish the orders of the two periods.
    Duration reacquisitionGap { 0 };
};

/// States of a lease holder.
enum class LeaseState {
    /// Another process may hold the lease.
    Free,
    /// A request to acquire the lease is pending.
    Acquiring,
    /// That request got no response; the key has to be read back.
    Indeterminate,
    /// Held, but orders of the former holder may still arrive.
    Waiting,
    /// Held; orders may be sent until authorityEnds().
    Holding,
};

/// Name of a state as in logs.
std::string_view leaseStateName(LeaseState state);

/// State machine of a process that acquires and holds a lease of the store (protocol P1). Does no I/O.
///
/// The time to live counts from before a request was sent, so the process never assumes that it holds a lease after the
/// store has expired it. Events that a state does not allow change nothing and return Conflict.
class LeaseHolder {
public:
    /// @param startedAt start of this process; a former one of the same instance may have acted until then
    explicit LeaseHolder(LeaseTimes times, TimePoint startedAt = {});
    LeaseHolder(LeaseHolder&&) noexcept;
    LeaseHolder& operator=(LeaseHolder&&) noexcept;
    ~LeaseHolder();

    /// A request to acquire the lease is about to be sent.
    Status requestSent(TimePoint now);
    /// The store created the key for this process, according to its response or to a later read.
    /// @param epoch revision at which the key was created, the fencing token
    Status acquired(Epoch epoch, TimePoint now);
    /// The request had no effect: another process holds the lease, or the store refused.
    Status refused();
    /// The request got no response and may have taken effect.
    Status requestUnanswered();
    /// The store confirmed a renewal.
    /// @param sent when the renewal was sent
    Status renewed(TimePoint sent);
    /// The store no longer has the lease, or the process releases it.
    Status lost();
    /// The store came back from an older copy, in which this lease may not exist. The holder of that time, this process
    /// or another, may act until the lease would have expired, without the store preventing a successor. So a lease
    /// that is acquired now takes effect only after that.
    void storeRestored(TimePoint now);
    /// Evaluates the end of the activation delay and the expiry of the lease.
    void tick(TimePoint now);

    LeaseState state() const;
    /// Fencing token. Valid only while the lease is held.
    Epoch epoch() const;
    /// When the process has to stop acting; none unless the state is Holding and that time is still to come.
    std::optional<TimePoint> authorityEnds(TimePoint now) const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace wisteriayard
