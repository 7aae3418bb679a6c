#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/units.h"

#include <memory>
#include <optional>
#include <string_view>

namespace wisteriayard {

/// Times of a lease.
struct LeaseTimes {
    /// Time to live that the store is asked for.
    Duration lease = std::chrono::seconds(6);
    /// The holder stops acting this long before the lease runs out.
    Duration margin = std::chrono::seconds(1);
    /// Time from taking the lease to acting on it; without a value lease + margin. Receivers that refuse a lower
    /// fencing token make it needless: an order of the former holder that comes late is then refused.
    std::optional<Duration> wait = std::nullopt;
    /// A process that held the lease, or a former process of its instance, does not act again for so long: another one
    /// may have acted in between, and the receiver can't tell the orders of the first time from those of the second.
    Duration returnGap { 0 };
};

/// What a lease holder may do.
enum class LeaseState {
    /// Another process may hold the lease.
    Free,
    /// A request to take the lease is on its way.
    Acquiring,
    /// The answer to that request was lost; the key has to be read back.
    Unsure,
    /// Held, but orders of the former holder may still be on their way.
    Waiting,
    /// Held: orders may be sent until authorityEnds().
    Holding,
};

/// Name of a state as in logs.
std::string_view leaseStateName(LeaseState state);

/// State of one process that takes and holds a lease of the store (protocol P1). Free of input and output.
///
/// Lease time counts from before a request was sent, so the process never believes in a lease for longer than the
/// store keeps it. Events that a state does not allow change nothing and are Conflict.
class LeaseHolder {
public:
    /// @param startedAt when this process began; a former one of the same instance may have acted until then
    explicit LeaseHolder(LeaseTimes times, TimePoint startedAt = {});
    LeaseHolder(LeaseHolder&&) noexcept;
    LeaseHolder& operator=(LeaseHolder&&) noexcept;
    ~LeaseHolder();

    /// A request to take the lease is about to be sent.
    Status requestSent(TimePoint now);
    /// The store made the key for this process, as answered or as read back.
    /// @param epoch revision at which the key was created, the fencing token
    Status acquired(Epoch epoch, TimePoint now);
    /// The request had no effect: another process holds the lease, or the store refused.
    Status refused();
    /// The request got no answer and may have had an effect.
    Status answerLost();
    /// The store confirmed a renewal.
    /// @param sent when the renewal was sent
    Status renewed(TimePoint sent);
    /// The store no longer has the lease, or the process gives it up.
    Status lost();
    /// Time passes: a wait ends, or the lease runs out.
    void timePassed(TimePoint now);

    LeaseState state() const;
    /// Fencing token. Only while the lease is held.
    Epoch epoch() const;
    /// When the process has to stop acting; none unless the state is Holding.
    std::optional<TimePoint> authorityEnds(TimePoint now) const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace wisteriayard
