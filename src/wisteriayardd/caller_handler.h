#pragma once

#include "agent_links.h"
#include "chat_api.h"
#include "entry_control.h"
#include "http_server.h"
#include "metrics.h"
#include "usage_reporter.h"

#include <memory>

namespace wisteriayard {

/// Handles callers' HTTP requests on one traffic thread.
class CallerHandler {
public:
    CallerHandler(boost::asio::io_context& io, std::shared_ptr<EntryControl> control, std::shared_ptr<AgentLinks> links,
        std::shared_ptr<Metrics> metrics, std::shared_ptr<EventLog> log, std::shared_ptr<UsageReporter> usage);

    /// Names of the header fields that handle() uses.
    static std::vector<std::string> requestFields();
    /// Handles one request.
    boost::asio::awaitable<HandlerResult> handle(HttpRequest request, HttpStreamWriter& writer);

private:
    /// State of a request over all its attempts.
    struct Call;

    boost::asio::awaitable<HandlerResult> listModels(RequestId id, KeyHash key);
    boost::asio::awaitable<HandlerResult> chat(
        RequestId id, KeyHash key, HttpRequest& request, HttpStreamWriter& writer);
    boost::asio::awaitable<HandlerResult> service(
        RequestId id, KeyHash key, HttpRequest& request, HttpStreamWriter& writer);
    boost::asio::awaitable<HandlerResult> run(Call& call);
    boost::asio::awaitable<std::optional<HandlerResult>> handleEvent(Call& call, const RequestEvent& event);
    boost::asio::awaitable<Status> deliver(Call& call, const wire::Chunk& chunk);
    boost::asio::awaitable<HandlerResult> finish(Call& call, const wire::Finished& finished);
    boost::asio::awaitable<HandlerResult> failCall(Call& call, ApiError error);
    HandlerResult abandonCall(const Call& call);
    void startAttempt(Call& call, const Admitted& admitted);
    ApiError finalFailure(const Call& call, const wire::Failed& failed);
    std::optional<ApiError> attemptFailed(Call& call, const std::string& reason, bool notExecuted);
    void recordEnd(const Call& call, const std::string& outcome);

    boost::asio::io_context& m_io;
    std::shared_ptr<EntryControl> m_control;
    std::shared_ptr<AgentLinks> m_links;
    std::shared_ptr<Metrics> m_metrics;
    std::shared_ptr<EventLog> m_log;
    std::shared_ptr<UsageReporter> m_usage;
};

} // namespace wisteriayard
