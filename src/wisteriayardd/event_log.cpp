#include "event_log.h"

#include "clock.h"
#include "hash.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace wisteriayard {

namespace {

    constexpr std::size_t incarnationBytes = 8;

} // namespace

std::string_view eventName(Event event)
{
    switch (event) {
    case Event::ProcessStarted:
        return "process_started";
    case Event::ProcessStopping:
        return "process_stopping";
    case Event::ProcessStopped:
        return "process_stopped";
    case Event::RequestsEnded:
        return "requests_ended";
    case Event::ShutdownIncomplete:
        return "shutdown_incomplete";
    case Event::LogStarted:
        return "log_started";
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
    case Event::RequestPreempted:
        return "request_preempted";
    case Event::EndpointEjected:
        return "endpoint_ejected";
    case Event::EndpointTakenBack:
        return "endpoint_taken_back";
    case Event::EndpointPaused:
        return "endpoint_paused";
    case Event::EndpointLimitChanged:
        return "endpoint_limit_changed";
    case Event::ClientClosed:
        return "client_closed";
    case Event::SlowClientEnded:
        return "slow_client_ended";
    case Event::AnswerFieldUnreadable:
        return "answer_field_unreadable";
    case Event::HedgeDecided:
        return "hedge_decided";
    case Event::HedgeEnded:
        return "hedge_ended";
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
    case Event::RequestClassified:
        return "request_classified";
    case Event::RequestRevoked:
        return "request_revoked";
    case Event::ViewStale:
        return "view_stale";
    case Event::ViewFresh:
        return "view_fresh";
    case Event::StoreDownForAll:
        return "store_down_for_all";
    case Event::UsageCounted:
        return "usage_counted";
    case Event::WatchStarted:
        return "watch_started";
    case Event::WatchReleased:
        return "watch_released";
    case Event::EndpointAdded:
        return "endpoint_added";
    case Event::EndpointRemoved:
        return "endpoint_removed";
    case Event::EndpointHeldBack:
        return "endpoint_held_back";
    case Event::AgentLost:
        return "agent_lost";
    case Event::InstanceListUnavailable:
        return "instance_list_unavailable";
    case Event::LeaseChanged:
        return "lease_changed";
    case Event::OrderSent:
        return "order_sent";
    case Event::OrderFailed:
        return "order_failed";
    case Event::EndpointOrderPassed:
        return "endpoint_order_passed";
    case Event::EndpointOrderRefused:
        return "endpoint_order_refused";
    case Event::UsageWindowClosed:
        return "usage_window_closed";
    case Event::UsageReportSent:
        return "usage_report_sent";
    case Event::UsageStepFailed:
        return "usage_step_failed";
    case Event::UsagePartFailed:
        return "usage_part_failed";
    case Event::UsageLate:
        return "usage_late";
    case Event::UsageMarksChecked:
        return "usage_marks_checked";
    case Event::UsageRecordRestored:
        return "usage_record_restored";
    case Event::UsageReportSkipped:
        return "usage_report_skipped";
    case Event::UsageLost:
        return "usage_lost";
    case Event::OncePartitionClaimed:
        return "once_partition_claimed";
    case Event::OncePartitionReleased:
        return "once_partition_released";
    case Event::OncePartitionLost:
        return "once_partition_lost";
    case Event::OnceWriteInDoubt:
        return "once_write_in_doubt";
    case Event::OnceStoreUnavailable:
        return "once_store_unavailable";
    case Event::OnceRecordUnusable:
        return "once_record_unusable";
    case Event::ConfigInForce:
        return "config_in_force";
    case Event::SettingsReloaded:
        return "settings_reloaded";
    case Event::SettingsRejected:
        return "settings_rejected";
    case Event::ProcessPaused:
        return "process_paused";
    case Event::ClockCorrected:
        return "clock_corrected";
    case Event::LinesSuppressed:
        return "lines_suppressed";
    case Event::PrefillPoolResized:
        return "prefill_pool_resized";
    case Event::ViewRoleChanged:
        return "view_role_changed";
    case Event::ViewRead:
        return "view_read";
    case Event::EnginesFullChanged:
        return "engines_full_changed";
    case Event::EndpointColdChanged:
        return "endpoint_cold_changed";
    case Event::EndpointFieldInvalid:
        return "endpoint_field_invalid";
    case Event::ColdSharesChanged:
        return "cold_shares_changed";
    case Event::DocumentFieldInvalid:
        return "document_field_invalid";
    case Event::LimitEntriesChanged:
        return "limit_entries_changed";
    case Event::ViewChangesReceived:
        return "view_changes_received";
    case Event::StoreRestored:
        return "store_restored";
    case Event::ViewDeltaRejected:
        return "view_delta_rejected";
    case Event::EndpointCrashed:
        return "endpoint_crashed";
    case Event::SegmentQuarantined:
        return "segment_quarantined";
    case Event::SegmentReleased:
        return "segment_released";
    case Event::SegmentTried:
        return "segment_tried";
    case Event::RequestQuarantined:
        return "request_quarantined";
    case Event::RequestReleased:
        return "request_released";
    case Event::RequestTried:
        return "request_tried";
    case Event::SegmentOnProbation:
        return "segment_on_probation";
    case Event::RequestOnProbation:
        return "request_on_probation";
    case Event::ZoneEvacuated:
        return "zone_evacuated";
    case Event::ZoneEvacuationWithdrawn:
        return "zone_evacuation_withdrawn";
    case Event::ZoneEvacuationKept:
        return "zone_evacuation_kept";
    case Event::RegionsUnavailable:
        return "regions_unavailable";
    case Event::CallerMemoryExhausted:
        return "caller_memory_exhausted";
    case Event::QuarantineStoreFailed:
        return "quarantine_store_failed";
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
    return open(std::move(sink), std::move(instance));
}

std::shared_ptr<EventLog> EventLog::open(std::shared_ptr<spdlog::sinks::sink> sink, std::string instance)
{
    auto logger = std::make_shared<spdlog::logger>("events", std::move(sink));
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    std::shared_ptr<EventLog> log(new EventLog(std::move(logger), std::move(instance)));
    log->write(Event::LogStarted, { { "incarnation", log->m_chain.incarnation() }, { "chain", "sha256" } });
    return log;
}

EventLog::EventLog(std::shared_ptr<spdlog::logger> logger, std::string instance)
    : m_logger(std::move(logger))
    , m_chain(std::move(instance), randomHex(incarnationBytes))
{
}

void EventLog::write(Event event, nlohmann::json fields)
{
    if (!fields.is_object())
        fields = nlohmann::json::object();
    std::string text = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::lock_guard lock(m_mutex);
    m_logger->info(
        m_chain.append({ static_cast<int>(event), eventName(event), wallClockMilliseconds(), std::move(text) }));
}

AuditAnchor EventLog::position() const
{
    std::lock_guard lock(m_mutex);
    return { m_chain.incarnation(), m_chain.sequence(), m_chain.head() };
}

} // namespace wisteriayard
