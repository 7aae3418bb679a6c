#pragma once

#include "wisteriayard/contract.h"
#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriayard {

/// Why a request is submitted.
enum class Placement {
    First,
    /// An earlier attempt was rejected and never ran.
    NeverRan,
    /// An earlier attempt failed; counts against the retry budget.
    Retry,
    /// An earlier attempt was preempted.
    Preempted,
};

/// How an attempt ended.
struct AttemptResult {
    /// The whole answer was produced.
    bool complete = false;
    /// Output tokens over all attempts.
    Tokens output { 0 };
};

/// What the scheduler needs to know of a request.
struct RequestInfo {
    RequestId id;
    AccountId account;
    ClassId requestClass;
    TargetId target;
    Tier tier = Tier::Bulk;
    Priority priority { 0 };
    double weight = 1.0;
    Tokens promptTokens { 0 };
    Tokens expectedOutput { 0 };
    /// Hash of the leading part of the prompt; equal prefixes profit from the same endpoint's cache.
    std::uint64_t prefixHash = 0;
    /// Tokens of the prompt that prefixHash covers.
    Tokens prefixTokens { 0 };
    /// Longest time before dispatch.
    Duration longestWait { 0 };
    /// Latency targets of the class; an absent one never makes a request hopeless.
    std::optional<Duration> firstTokenTarget;
    std::optional<Duration> totalTarget;
    /// Why the request is submitted.
    Placement placement = Placement::First;
    /// Output tokens that earlier attempts delivered.
    Tokens delivered { 0 };
};

/// What the scheduler needs to know of an endpoint.
struct EndpointInfo {
    EndpointId id;
    TargetId target;
    ZoneId zone;
    RegionId region;
    /// Requests that the endpoint runs at once.
    int slots = 1;
};

/// Load of an endpoint as its agent reported it.
struct EndpointLoad {
    int running = 0;
    int queued = 0;
    double tokensPerSecond = 0;
    bool leaving = false;
    /// When the agent took the figures.
    TimePoint takenAt {};
};

/// Why a request was refused without having run.
enum class RefusalReason {
    QueueFull,
    WaitExceeded,
    NoEndpoint,
    LimitExceeded,
    Duplicate,
};

/// Name of a refusal reason as it appears in logs and errors.
std::string_view refusalReasonName(RefusalReason reason);

/// Send the request to this endpoint now.
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
};

/// Refuse the request now; it never ran.
struct Refusal {
    RequestId request;
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter { 0 };
};

/// Cancel the running request and submit it again with Placement::Preempted.
struct Preempt {
    RequestId request;
    EndpointId endpoint;
};

/// A decision about a request that was submitted.
using Decision = std::variant<Dispatch, Refusal, Preempt>;

/// Admission, queueing and endpoint choice of one entry.
///
/// Free of input and output; the caller carries out the decisions. Every event method returns the decisions
/// that the event caused, in order.
class Scheduler {
public:
    using Decisions = std::vector<Decision>;

    /// Place of the entry, for the preference of near endpoints.
    Scheduler(ZoneId zone, RegionId region);

    /// Adds an endpoint or replaces what is known of it.
    Decisions endpointAdded(const EndpointInfo& info, TimePoint now);
    /// Takes an endpoint out; nothing more is dispatched to it.
    Decisions endpointRemoved(const EndpointId& id, TimePoint now);
    /// Takes in a load report.
    Decisions endpointReported(const EndpointId& id, const EndpointLoad& load, TimePoint now);

    /// Takes in a new request, or one that has to be placed again.
    Decisions submit(const RequestInfo& request, TimePoint now);
    /// A dispatched request left its endpoint, whatever the outcome.
    Decisions finished(const RequestId& request, const AttemptResult& result, TimePoint now);
    /// Output of a running request arrived.
    /// @param output tokens over all attempts
    void progress(const RequestId& request, Tokens output, TimePoint now);
    /// A queued request is no longer wanted.
    Decisions cancelled(const RequestId& request, TimePoint now);
    /// Time passes: refuses what waited too long.
    Decisions tick(TimePoint now);

    std::size_t queued() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }

private:
    struct Waiting {
        RequestInfo info;
        TimePoint since;
    };
    struct Endpoint {
        EndpointInfo info;
        EndpointLoad load;
        int inFlight = 0;
    };

    void dispatchWaiting(TimePoint now, Decisions& decisions);
    Endpoint* chooseEndpoint(const RequestInfo& request);

    ZoneId m_zone;
    RegionId m_region;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::deque<Waiting> m_queue;
    std::map<RequestId, EndpointId> m_running;
};

} // namespace wisteriayard
