#pragma once

#include "http_server.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/scheduler.h"

#include <optional>
#include <string>

namespace wisteriayard {

/// Whether a request that ended in an error was executed.
enum class ExecutionOutcome {
    /// It was not executed and will not be.
    NotExecuted,
    /// It may have been executed, in part or completely.
    MayHaveExecuted,
};

/// An error as returned to callers, in the format of the chat-completions API.
struct ApiError {
    boost::beast::http::status status = boost::beast::http::status::internal_server_error;
    /// Error type that client libraries evaluate, for instance `invalid_request_error`.
    std::string type;
    /// Machine-readable code, for instance `queue_full`.
    std::string code;
    std::string message;
    ExecutionOutcome outcome = ExecutionOutcome::NotExecuted;
    std::optional<Duration> retryAfter;
};

/// The error returned while the entry's view of contracts and keys is stale.
ApiError viewStaleError(ExecutionOutcome outcome);

/// The error for a request that the scheduler or a limit refused.
ApiError refusalError(RefusalReason reason, Duration retryAfter);

/// The error object as JSON.
std::string apiErrorJson(const ApiError& error, const RequestId& request);

/// The HTTP response for an error, with `x-request-id` and, if set, `Retry-After`.
HttpResponse apiErrorResponse(const ApiError& error, const RequestId& request);

} // namespace wisteriayard
