#pragma once

#include "wisteriayard/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace spdlog {
class logger;
}

namespace wisteriayard {

/// Numbered log events; docs/events.md is the catalogue.
enum class Event : int {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    RequestAdmitted = 200,
    RequestRefused = 201,
    RequestFinished = 202,
    RequestFailed = 203,
    AttemptFailed = 204,
    ContractInForce = 300,
    KeyWithdrawnInForce = 301,
    ConfigRejected = 302,
    ViewLoaded = 303,
    WatchEnded = 304,
    WatchStarted = 310,
    WatchReleased = 311,
    EndpointAdded = 400,
    EndpointRemoved = 401,
    AgentLost = 402,
    InstanceListUnavailable = 403,
};

/// Name of an event as in the catalogue.
std::string_view eventName(Event event);

/// Writes events as JSON lines with a sequence number. May be used by all threads.
class EventLog {
public:
    /// @param file path, or empty for standard output
    /// @return the log, or Unavailable if the file can't be opened
    static Result<std::shared_ptr<EventLog>> open(const std::string& file, std::string instance);

    /// Writes one event.
    /// @param fields object with the event's fields; never a key or text of a prompt or an answer
    void write(Event event, nlohmann::json fields);

private:
    EventLog(std::shared_ptr<spdlog::logger> logger, std::string instance);

    std::shared_ptr<spdlog::logger> m_logger;
    std::string m_instance;
    std::mutex m_mutex;
    std::uint64_t m_sequence = 0;
};

} // namespace wisteriayard
