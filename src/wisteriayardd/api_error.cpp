#include "api_error.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace http = boost::beast::http;

ApiError refusalError(RefusalReason reason, Duration retryAfter)
{
    ApiError error;
    error.type = "overloaded_error";
    error.code = refusalReasonName(reason);
    error.retryAfter = retryAfter;
    switch (reason) {
    case RefusalReason::LimitExceeded:
        error.status = http::status::too_many_requests;
        error.type = "rate_limit_error";
        error.message = "a limit of the account's contract is used up";
        break;
    case RefusalReason::Duplicate:
        error.status = http::status::conflict;
        error.message = "a request with this id is running";
        error.retryAfter.reset();
        break;
    case RefusalReason::Invalid:
        error.status = http::status::bad_request;
        error.type = "invalid_request_error";
        error.message = "a size of the request is out of range";
        error.retryAfter.reset();
        break;
    case RefusalReason::QueueFull:
    case RefusalReason::WaitExceeded:
    case RefusalReason::TargetMissed:
    case RefusalReason::RetryBudget:
    case RefusalReason::NoEndpoint:
        error.status = http::status::service_unavailable;
        error.message = "no capacity for this class now";
        break;
    }
    return error;
}

std::string apiErrorJson(const ApiError& error, const RequestId& request)
{
    nlohmann::json body = { { "message", error.message }, { "type", error.type }, { "code", error.code },
        { "outcome", error.outcome == ExecutionOutcome::NotExecuted ? "not_run" : "unknown" },
        { "request_id", request.value() } };
    return nlohmann::json({ { "error", body } }).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse apiErrorResponse(const ApiError& error, const RequestId& request)
{
    HttpResponse response = makeHttpResponse(error.status, apiErrorJson(error, request));
    response.set("x-request-id", request.value());
    if (error.retryAfter) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        response.set(boost::beast::http::field::retry_after, std::to_string(seconds));
    }
    if (error.status == boost::beast::http::status::unauthorized)
        response.set(boost::beast::http::field::www_authenticate, "Bearer");
    return response;
}

ApiError viewStaleError(ExecutionOutcome outcome)
{
    constexpr Duration retryAfter = std::chrono::seconds(1);
    return { boost::beast::http::status::service_unavailable, "overloaded_error", "view_stale",
        "this instance has lost touch with the configuration", outcome, retryAfter };
}

} // namespace wisteriayard
