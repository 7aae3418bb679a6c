#pragma once

#include "wisteriayard/audit.h"
#include "wisteriayard/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace spdlog {
class logger;
namespace sinks {
    class sink;
}
} // namespace spdlog

namespace wisteriayard {

/// Numbered log events, described in docs/events.md.
enum class Event : int {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    RequestsEnded = 103,
    ShutdownIncomplete = 104,
    LogStarted = logStartedEvent,
    RequestAdmitted = 200,
    RequestRefused = 201,
    RequestFinished = 202,
    RequestFailed = 203,
    AttemptFailed = 204,
    RequestPreempted = 210,
    EndpointEjected = 211,
    EndpointTakenBack = 212,
    EndpointPaused = 213,
    AnswerFieldUnreadable = 214,
    EndpointLimitChanged = 215,
    ClientClosed = 216,
    SlowClientEnded = 217,
    HedgeDecided = 230,
    HedgeEnded = 231,
    ContractInForce = 300,
    KeyWithdrawnInForce = 301,
    ConfigRejected = 302,
    ViewLoaded = 303,
    WatchEnded = 304,
    RequestClassified = 340,
    RequestRevoked = 341,
    ViewStale = 342,
    ViewFresh = 343,
    StoreDownForAll = 344,
    UsageCounted = 346,
    WatchStarted = 310,
    WatchReleased = 311,
    EndpointAdded = 400,
    EndpointRemoved = 401,
    AgentLost = 402,
    EndpointHeldBack = 404,
    EndpointColdChanged = 410,
    EnginesFullChanged = 414,
    EndpointFieldInvalid = 411,
    ColdSharesChanged = 412,
    DocumentFieldInvalid = 413,
    InstanceListUnavailable = 403,
    LeaseChanged = 500,
    OrderSent = 501,
    OrderFailed = 502,
    EndpointOrderPassed = 503,
    EndpointOrderRefused = 504,
    UsageWindowClosed = 510,
    UsageReportSent = 511,
    UsageStepFailed = 512,
    UsagePartFailed = 513,
    UsageLate = 514,
    UsageLost = 515,
    UsageMarksChecked = 516,
    UsageRecordRestored = 517,
    UsageReportSkipped = 518,
    OncePartitionClaimed = 600,
    OncePartitionReleased = 601,
    OncePartitionLost = 602,
    OnceWriteInDoubt = 603,
    OnceStoreUnavailable = 604,
    OnceRecordUnusable = 605,
    CallerMemoryExhausted = 610,
    ConfigInForce = 700,
    SettingsReloaded = 701,
    SettingsRejected = 702,
    ProcessPaused = 703,
    ClockCorrected = 704,
    LinesSuppressed = 705,
    PrefillPoolResized = 706,
    ViewRoleChanged = 707,
    ViewRead = 708,
    LimitEntriesChanged = 709,
    ViewChangesReceived = 710,
    ViewDeltaRejected = 711,
    StoreRestored = 712,
    EndpointCrashed = 720,
    SegmentQuarantined = 721,
    SegmentReleased = 722,
    SegmentTried = 723,
    QuarantineStoreFailed = 724,
    RequestQuarantined = 725,
    RequestReleased = 726,
    RequestTried = 727,
    SegmentOnProbation = 728,
    RequestOnProbation = 729,
    ZoneEvacuated = 740,
    ZoneEvacuationWithdrawn = 741,
    ZoneEvacuationKept = 742,
    RegionsUnavailable = 743,
};

/// Name of an event as in docs/events.md, or `unknown`.
std::string_view eventName(Event event);

/// Writes events as JSON lines with a sequence number and a chained hash. Thread-safe.
class EventLog {
public:
    /// Opens the log and writes its first line, which contains the incarnation of the process.
    /// @param file path, or empty for standard output
    /// @return the log, or Unavailable if the file can't be opened
    static Result<std::shared_ptr<EventLog>> open(const std::string& file, std::string instance);

    /// Opens a log that writes to the given sink.
    static std::shared_ptr<EventLog> open(std::shared_ptr<spdlog::sinks::sink> sink, std::string instance);

    /// Writes one event.
    /// @param fields JSON object with the event's fields; must not contain API keys or the text of prompts or responses
    void write(Event event, nlohmann::json fields);

    /// Current end of the log; with it an audit detects a truncated tail.
    AuditAnchor position() const;

private:
    EventLog(std::shared_ptr<spdlog::logger> logger, std::string instance);

    std::shared_ptr<spdlog::logger> m_logger;
    mutable std::mutex m_mutex;
    AuditChain m_chain;
};

} // namespace wisteriayard
