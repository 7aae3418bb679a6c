#include "caller_handler.h"

#include "clock.h"
#include "hash.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace {

    constexpr std::size_t requestIdBytes = 12;
    constexpr std::size_t maxKeyLength = 256;
    constexpr std::size_t maxIdempotencyKeyLength = 255;
    constexpr Duration callerWriteTimeout = std::chrono::seconds(30);
    /// Limit for the time without any event of a request; queueing and streaming produce events more often than this.
    constexpr Duration eventTimeout = std::chrono::minutes(10);
    /// Tokens between two progress reports; a report per token would load the control thread too much.
    constexpr std::int64_t progressInterval = 16;
    constexpr std::string_view servicesPrefix = "/services/";

    /// Removes the bearer key from the request's headers.
    /// @return the key's hash, or Unauthorized
    Result<KeyHash> extractKey(HttpRequest& request)
    {
        if (request.count(http::field::authorization) != 1)
            return fail(Errc::Unauthorized, "expected exactly one Authorization header with a bearer key");
        std::string_view value = request[http::field::authorization];
        constexpr std::string_view scheme = "Bearer ";
        bool bearer = boost::beast::iequals(value.substr(0, scheme.size()), scheme);
        if (!bearer || value.size() == scheme.size() || value.size() > scheme.size() + maxKeyLength)
            return fail(Errc::Unauthorized, "expected \"Authorization: Bearer <key>\"");
        KeyHash hash(sha256Hex(value.substr(scheme.size())));
        request.erase(http::field::authorization);
        return hash;
    }

    ApiError badRequest(std::string message)
    {
        return { http::status::bad_request, "invalid_request_error", "bad_request", std::move(message),
            ExecutionOutcome::NotExecuted, std::nullopt };
    }

    ApiError unauthorized(std::string message)
    {
        return { http::status::unauthorized, "authentication_error", "invalid_api_key", std::move(message),
            ExecutionOutcome::NotExecuted, std::nullopt };
    }

    std::string modelsBody(const std::vector<TargetId>& models)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const TargetId& model : models)
            list.push_back({ { "id", model.value() }, { "object", "model" }, { "owned_by", "wisteriayard" } });
        return nlohmann::json({ { "object", "list" }, { "data", list } }).dump();
    }

    TokenUsage usageOf(const wire::Finished& finished, Tokens resumedTokens)
    {
        TokenUsage usage;
        usage.prompt = Tokens(static_cast<std::int64_t>(finished.prompt_tokens()));
        usage.cached = Tokens(static_cast<std::int64_t>(finished.cached_tokens()));
        usage.output = Tokens(static_cast<std::int64_t>(finished.output_tokens())) + resumedTokens;
        return usage;
    }

} // namespace

struct CallerHandler::Call {
    RequestId id;
    std::shared_ptr<RequestMailbox> mailbox;
    HttpStreamWriter* writer = nullptr;
    TimePoint arrived {};
    std::int64_t created = 0;
    /// Chat requests only.
    std::optional<ChatRequest> chat;
    wire::Submit submit;
    std::optional<Admitted> admitted;
    /// An attempt is running at an agent.
    bool attemptOpen = false;
    /// Sequence number expected of the next chunk.
    std::uint64_t nextChunk = 0;
    /// Output so far over all attempts, streamed or collected.
    std::string text;
    Tokens tokens { 0 };
    /// Tokens delivered by earlier attempts.
    Tokens resumedTokens { 0 };
    /// Usage that the endpoint reported; set when the request has finished.
    std::optional<UsageFigures> finalUsage;
};

CallerHandler::CallerHandler(boost::asio::io_context& io, std::shared_ptr<EntryControl> control,
    std::shared_ptr<AgentLinks> links, std::shared_ptr<Metrics> metrics, std::shared_ptr<EventLog> log,
    std::shared_ptr<UsageReporter> usage)
    : m_io(io)
    , m_control(std::move(control))
    , m_links(std::move(links))
    , m_metrics(std::move(metrics))
    , m_log(std::move(log))
    , m_usage(std::move(usage))
{
}

std::vector<std::string> CallerHandler::requestFields()
{
    return { "Authorization", "Content-Type", "Idempotency-Key" };
}

awaitable<HandlerResult> CallerHandler::handle(HttpRequest request, HttpStreamWriter& writer)
{
    RequestId id(randomHex(requestIdBytes));
    auto key = extractKey(request);
    if (!key)
        co_return apiErrorResponse(unauthorized(key.error().message), id);
    std::string_view target = request.target();
    if (target == "/v1/models" && request.method() == http::verb::get)
        co_return co_await listModels(id, key.value());
    if (target == "/v1/chat/completions" && request.method() == http::verb::post)
        co_return co_await chat(id, key.value(), request, writer);
    if (target.substr(0, servicesPrefix.size()) == servicesPrefix)
        co_return co_await service(id, key.value(), request, writer);
    ApiError error = badRequest(
        "no such path or method: " + std::string(request.method_string()) + " " + std::string(target.substr(0, 200)));
    error.status = http::status::not_found;
    error.code = "not_found";
    co_return apiErrorResponse(error, id);
}

awaitable<HandlerResult> CallerHandler::listModels(RequestId id, KeyHash key)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::seconds(5));
    auto models = std::make_shared<Result<std::vector<TargetId>>>(fail(Errc::Timeout, "no answer"));
    m_control->listModels(key, [this, timer, models](Result<std::vector<TargetId>> result) {
        boost::asio::post(m_io, [timer, models, result = std::move(result)] {
            *models = result;
            timer->cancel();
        });
    });
    boost::system::error_code ignored;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (!*models)
        co_return apiErrorResponse(unauthorized(models->error().message), id);
    HttpResponse response = makeHttpResponse(http::status::ok, modelsBody(models->value()));
    response.set("x-request-id", id.value());
    co_return response;
}

awaitable<HandlerResult> CallerHandler::chat(RequestId id, KeyHash key, HttpRequest& request, HttpStreamWriter& writer)
{
    auto parsed = parseChatRequest(request.body());
    if (!parsed)
        co_return apiErrorResponse(badRequest(parsed.error().message), id);
    Call call;
    call.id = id;
    call.writer = &writer;
    call.chat = parsed.value();
    call.submit.set_kind(wire::CHAT);
    call.submit.set_body(std::move(request.body()));
    call.mailbox = std::make_shared<RequestMailbox>(m_io, id);
    ArrivedRequest arrived;
    arrived.key = key;
    arrived.attributes = { call.chat->model, "POST", "", call.chat->maxTokens };
    arrived.promptTokens = call.chat->promptTokens;
    arrived.prefixHash = call.chat->prefixHash;
    arrived.prefixTokens = call.chat->prefixTokens;
    arrived.resumable = true;
    arrived.id = id;
    arrived.mailbox = call.mailbox;
    m_control->submit(std::move(arrived));
    co_return co_await run(call);
}

awaitable<HandlerResult> CallerHandler::service(
    RequestId id, KeyHash key, HttpRequest& request, HttpStreamWriter& writer)
{
    std::string_view rest = request.target();
    rest.remove_prefix(servicesPrefix.size());
    std::size_t slash = std::min(rest.find('/'), rest.size());
    std::string name(rest.substr(0, slash));
    std::string path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
    std::string_view idempotencyKey = request["Idempotency-Key"];
    if (request.count("Idempotency-Key") > 1 || idempotencyKey.size() > maxIdempotencyKeyLength)
        co_return apiErrorResponse(badRequest("expected at most one Idempotency-Key of up to 255 characters"), id);
    Call call;
    call.id = id;
    call.writer = &writer;
    call.submit.set_kind(wire::SERVICE);
    call.submit.set_method(std::string(request.method_string()));
    call.submit.set_path(path);
    call.submit.set_body(std::move(request.body()));
    call.submit.set_content_type(std::string(request[http::field::content_type]));
    call.submit.set_idempotency_key(std::string(idempotencyKey));
    call.mailbox = std::make_shared<RequestMailbox>(m_io, id);
    ArrivedRequest arrived;
    arrived.id = id;
    arrived.key = key;
    // Classification ignores the query, so it is left out and doesn't get into the log.
    arrived.attributes
        = { TargetId(name), std::string(request.method_string()), path.substr(0, path.find('?')), std::nullopt };
    arrived.mailbox = call.mailbox;
    arrived.idempotencyKey = std::string(idempotencyKey);
    m_control->submit(std::move(arrived));
    co_return co_await run(call);
}

awaitable<HandlerResult> CallerHandler::run(Call& call)
{
    call.arrived = bootTimeNow();
    call.created = wallClockMilliseconds() / 1000;
    // Stops work for a caller that has disconnected. A stream notices by its failing writes; this covers the time
    // before the first write and responses that are not streamed.
    call.writer->onPeerClose([mailbox = std::weak_ptr<RequestMailbox>(call.mailbox)] {
        if (auto open = mailbox.lock())
            open->push(CallerGone {});
    });
    while (true) {
        RequestEvent event = co_await call.mailbox->next(eventTimeout);
        auto result = co_await handleEvent(call, event);
        if (result)
            co_return std::move(*result);
    }
}

awaitable<std::optional<HandlerResult>> CallerHandler::handleEvent(Call& call, const RequestEvent& event)
{
    std::optional<ApiError> error;
    if (auto* admitted = std::get_if<Admitted>(&event)) {
        startAttempt(call, *admitted);
    } else if (auto* refused = std::get_if<Refused>(&event)) {
        call.attemptOpen = false;
        error = refused->error;
    } else if (auto* chunk = std::get_if<wire::Chunk>(&event)) {
        if (chunk->sequence() != call.nextChunk) {
            error = attemptFailed(call, "chunk " + std::to_string(call.nextChunk) + " is missing", false);
        } else {
            auto delivered = co_await deliver(call, *chunk);
            if (!delivered)
                co_return abandonCall(call);
        }
    } else if (auto* finished = std::get_if<wire::Finished>(&event)) {
        if (finished->chunks() == call.nextChunk)
            co_return co_await finish(call, *finished);
        error = attemptFailed(call, "answer is truncated", false);
    } else if (auto* rejected = std::get_if<wire::Rejected>(&event)) {
        m_control->agentRejected(call.id, *rejected);
        error = attemptFailed(call, rejected->reason(), true);
    } else if (auto* failed = std::get_if<wire::Failed>(&event)) {
        error = failed->http_status() ? finalFailure(call, *failed)
                                      : attemptFailed(call, failed->reason(), failed->outcome() == wire::NOT_RUN);
    } else if (std::holds_alternative<AgentLost>(event)) {
        error = attemptFailed(call, "the agent does not answer", false);
    } else if (std::holds_alternative<CallerGone>(event)) {
        co_return abandonCall(call);
    } else if (std::holds_alternative<Preempted>(event)) {
        if (call.attemptOpen) {
            m_links->endAttempt(call.id, true);
            call.attemptOpen = false;
            m_control->attemptEnded(call.id, AttemptEnd::Preempted, call.tokens);
        }
    } else if (std::holds_alternative<KeyRevoked>(event)) {
        error = unauthorized("the key was withdrawn");
        error->outcome = call.admitted ? ExecutionOutcome::MayHaveExecuted : ExecutionOutcome::NotExecuted;
        m_links->endAttempt(call.id, true);
        m_control->attemptEnded(call.id, AttemptEnd::Abandoned, call.tokens);
    } else if (std::holds_alternative<ViewStale>(event)) {
        error = viewStaleError(call.admitted ? ExecutionOutcome::MayHaveExecuted : ExecutionOutcome::NotExecuted);
        m_links->endAttempt(call.id, true);
        m_control->attemptEnded(call.id, AttemptEnd::Abandoned, call.tokens);
    } else if (std::holds_alternative<TimedOut>(event)) {
        error = ApiError { http::status::gateway_timeout, "api_error", "timeout", "no answer in time",
            call.admitted ? ExecutionOutcome::MayHaveExecuted : ExecutionOutcome::NotExecuted, std::nullopt };
        m_links->endAttempt(call.id, true);
        m_control->attemptEnded(call.id, AttemptEnd::Abandoned, call.tokens);
    }
    if (!error)
        co_return std::nullopt;
    co_return co_await failCall(call, std::move(*error));
}

HandlerResult CallerHandler::abandonCall(const Call& call)
{
    m_links->endAttempt(call.id, true);
    m_control->attemptEnded(call.id, AttemptEnd::Abandoned, call.tokens);
    recordEnd(call, "caller_gone");
    return StreamedResponse { false };
}

void CallerHandler::startAttempt(Call& call, const Admitted& admitted)
{
    call.admitted = admitted;
    call.nextChunk = 0;
    call.resumedTokens = call.tokens;
    call.submit.set_request_id(call.id.value());
    call.submit.set_attempt(admitted.attempt);
    call.submit.set_account(admitted.account.value());
    call.submit.set_request_class(admitted.requestClass.value());
    call.submit.set_priority(static_cast<std::int32_t>(admitted.tier) * 1000 + admitted.priority.value());
    call.submit.set_tier(static_cast<std::uint32_t>(admitted.tier));
    call.submit.set_at_most_once(admitted.atMostOnce);
    call.submit.set_once_mode(admitted.onceMode);
    call.submit.set_resume_text(call.text);
    call.submit.set_resume_tokens(static_cast<std::uint64_t>(call.tokens.value()));
    call.attemptOpen = true;
    auto memory = call.writer->countBodyCopy();
    if (!m_links->submit(admitted.endpoint, admitted.agentAddress, call.submit, call.mailbox, std::move(memory))) {
        wire::Rejected rejected;
        rejected.set_reason("agent can't be reached");
        call.mailbox->push(rejected);
    }
}

ApiError CallerHandler::finalFailure(const Call& call, const wire::Failed& failed)
{
    m_links->endAttempt(call.id, false);
    m_control->attemptEnded(call.id, AttemptEnd::Abandoned, call.tokens);
    auto status = static_cast<http::status>(failed.http_status());
    bool callersFault = status == http::status::conflict || status == http::status::unprocessable_entity;
    ApiError error { status, callersFault ? "invalid_request_error" : "overloaded_error", failed.code(),
        failed.reason(),
        failed.outcome() == wire::NOT_RUN ? ExecutionOutcome::NotExecuted : ExecutionOutcome::MayHaveExecuted,
        std::nullopt };
    bool retryHelps = status == http::status::service_unavailable || failed.code() == "call_running";
    if (retryHelps)
        error.retryAfter = std::chrono::seconds(1);
    return error;
}

std::optional<ApiError> CallerHandler::attemptFailed(Call& call, const std::string& reason, bool notExecuted)
{
    m_links->endAttempt(call.id, true);
    call.attemptOpen = false;
    m_log->write(Event::AttemptFailed,
        { { "request", call.id.value() }, { "attempt", call.admitted->attempt },
            { "endpoint", call.admitted->endpoint.value() }, { "reason", reason }, { "never_ran", notExecuted } });
    bool repeatable = notExecuted || !call.admitted->atMostOnce;
    AttemptEnd again = notExecuted ? AttemptEnd::NotExecuted : AttemptEnd::MayHaveExecuted;
    m_control->attemptEnded(call.id, repeatable ? again : AttemptEnd::Abandoned, call.tokens);
    if (repeatable)
        return std::nullopt;
    return ApiError { http::status::bad_gateway, "api_error", "outcome_unknown",
        "the call may have run; it is not repeated: " + reason, ExecutionOutcome::MayHaveExecuted, std::nullopt };
}

awaitable<Status> CallerHandler::deliver(Call& call, const wire::Chunk& chunk)
{
    if (call.tokens == Tokens(0))
        m_metrics->firstToken(call.admitted->account, call.admitted->requestClass, bootTimeNow() - call.arrived);
    ++call.nextChunk;
    call.text += chunk.text();
    Tokens before = call.tokens;
    call.tokens += Tokens(chunk.tokens());
    bool firstOfAttempt = before == call.resumedTokens;
    if (firstOfAttempt || call.tokens.value() / progressInterval != before.value() / progressInterval)
        m_control->reportProgress(call.id, call.tokens);
    if (!call.chat || !call.chat->stream)
        co_return boost::outcome_v2::success();
    if (!call.writer->begun()) {
        std::map<std::string, std::string> headers { { "x-request-id", call.id.value() } };
        auto begun = co_await call.writer->begin(headers, "text/event-stream", callerWriteTimeout);
        if (!begun)
            co_return begun.error();
    }
    std::string event = chunkEvent(call.id, call.chat->model, call.created, chunk.text());
    co_return co_await call.writer->write(event, callerWriteTimeout);
}

awaitable<HandlerResult> CallerHandler::finish(Call& call, const wire::Finished& finished)
{
    m_links->endAttempt(call.id, false);
    m_control->attemptEnded(
        call.id, AttemptEnd::Finished, call.tokens, Duration(static_cast<std::int64_t>(finished.endpoint_us())));
    TokenUsage usage = usageOf(finished, call.resumedTokens);
    call.finalUsage
        = { 1, usage.prompt, usage.cached, usage.output, Duration(static_cast<std::int64_t>(finished.endpoint_us())) };
    recordEnd(call, "finished");
    if (!call.chat) {
        auto status = static_cast<http::status>(finished.http_status());
        HttpResponse response = makeHttpResponse(status, finished.body(), finished.content_type());
        response.set("x-request-id", call.id.value());
        co_return response;
    }
    if (!call.chat->stream) {
        HttpResponse response = makeHttpResponse(http::status::ok,
            completionBody(call.id, call.chat->model, call.created, call.text, finished.finish_reason(), usage));
        response.set("x-request-id", call.id.value());
        co_return response;
    }
    std::optional<TokenUsage> shown;
    if (call.chat->includeUsage)
        shown = usage;
    std::string events = finalEvents(call.id, call.chat->model, call.created, finished.finish_reason(), shown);
    if (!call.writer->begun()) {
        std::map<std::string, std::string> headers { { "x-request-id", call.id.value() } };
        auto begun = co_await call.writer->begin(headers, "text/event-stream", callerWriteTimeout);
        if (!begun)
            co_return StreamedResponse { false };
    }
    auto status = co_await call.writer->write(events, callerWriteTimeout);
    if (status)
        status = co_await call.writer->end(callerWriteTimeout);
    co_return StreamedResponse { bool(status) };
}

awaitable<HandlerResult> CallerHandler::failCall(Call& call, ApiError error)
{
    recordEnd(call, error.code);
    m_log->write(Event::RequestFailed,
        { { "request", call.id.value() }, { "code", error.code },
            { "outcome", error.outcome == ExecutionOutcome::NotExecuted ? "not_run" : "unknown" } });
    if (!call.writer->begun())
        co_return apiErrorResponse(error, call.id);
    // The status line has been sent: send the error as the last event and leave the body unterminated.
    std::string event = "data: " + apiErrorJson(error, call.id) + "\n\n";
    [[maybe_unused]] auto written = co_await call.writer->write(event, callerWriteTimeout);
    co_return StreamedResponse { false };
}

void CallerHandler::recordEnd(const Call& call, const std::string& outcome)
{
    if (!call.admitted)
        return;
    const AccountId& account = call.admitted->account;
    const ClassId& requestClass = call.admitted->requestClass;
    Duration total = bootTimeNow() - call.arrived;
    m_metrics->requestEnded(account, requestClass, outcome);
    m_metrics->outputTokens(account, requestClass, call.tokens);
    // For an unfinished request only the number of delivered tokens is known.
    UsageFigures delivered { 1, Tokens(0), Tokens(0), call.tokens, Duration(0) };
    UsageFigures counted = call.finalUsage.value_or(delivered);
    m_usage->count(account, requestClass, counted);
    m_log->write(Event::UsageCounted,
        { { "request", call.id.value() }, { "account", account.value() }, { "class", requestClass.value() },
            { "requests", counted.requests }, { "prompt_tokens", counted.prompt.value() },
            { "cached_tokens", counted.cached.value() }, { "output_tokens", counted.output.value() },
            { "endpoint_us", counted.endpointTime.count() }, { "outcome", outcome } });
    if (outcome != "finished")
        return;
    m_metrics->totalTime(account, requestClass, total);
    m_log->write(Event::RequestFinished,
        { { "request", call.id.value() }, { "account", account.value() }, { "class", requestClass.value() },
            { "endpoint", call.admitted->endpoint.value() }, { "output_tokens", call.tokens.value() },
            { "total_us", total.count() } });
}

} // namespace wisteriayard
