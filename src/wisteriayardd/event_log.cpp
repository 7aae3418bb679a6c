#include "event_log.h"

#include "clock.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace wisteriayard {

std::string_view eventName(Event event)
{
    switch (event) {
    case Event::ProcessStarted:
        return "process_started";
    case Event::ProcessStopping:
        return "process_stopping";
    case Event::ProcessStopped:
        return "process_stopped";
    case Event::RequestAdmitted:
        return "request_admitted";
    case Event::RequestRefused:
        return "request_refused";
    case Event::RequestFinished:
        return "request_finished";
    case Event::RequestFailed:
        return "request_failed";
    case Event::AttemptFailed:
        return "attempt_failed";
    case Event::ContractInForce:
        return "contract_in_force";
    case Event::KeyWithdrawnInForce:
        return "key_withdrawn_in_force";
    case Event::ConfigRejected:
        return "config_rejected";
    case Event::ViewLoaded:
        return "view_loaded";
    case Event::WatchEnded:
        return "watch_ended";
    case Event::WatchStarted:
        return "watch_started";
    case Event::WatchReleased:
        return "watch_released";
    case Event::EndpointAdded:
        return "endpoint_added";
    case Event::EndpointRemoved:
        return "endpoint_removed";
    case Event::AgentLost:
        return "agent_lost";
    case Event::InstanceListUnavailable:
        return "instance_list_unavailable";
    }
    return "unknown";
}

Result<std::shared_ptr<EventLog>> EventLog::open(const std::string& file, std::string instance)
{
    std::shared_ptr<spdlog::sinks::sink> sink;
    try {
        if (file.empty())
            sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
        else
            sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
    } catch (const spdlog::spdlog_ex& error) {
        return fail(Errc::Unavailable, std::string("cannot open log: ") + error.what());
    }
    auto logger = std::make_shared<spdlog::logger>("events", std::move(sink));
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    return std::shared_ptr<EventLog>(new EventLog(std::move(logger), std::move(instance)));
}

EventLog::EventLog(std::shared_ptr<spdlog::logger> logger, std::string instance)
    : m_logger(std::move(logger))
    , m_instance(std::move(instance))
{
}

void EventLog::write(Event event, nlohmann::json fields)
{
    std::lock_guard lock(m_mutex);
    nlohmann::json line = { { "seq", ++m_sequence }, { "time_ms", wallClockMilliseconds() }, { "instance", m_instance },
        { "event", static_cast<int>(event) }, { "name", eventName(event) }, { "fields", std::move(fields) } };
    m_logger->info(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace wisteriayard
