#pragma once

#include "http_server.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/scheduler.h"

#include <optional>
#include <string>

namespace wisteriayard {

/// Whether a request that got no answer ran.
enum class RunOutcome {
    /// It never ran and never will.
    NotRun,
    /// It may have run.
    Unknown,
};

/// An error as callers see it, in the shape of the chat-completions API.
struct ApiError {
    boost::beast::http::status status = boost::beast::http::status::internal_server_error;
    /// Kind for client libraries, for instance `invalid_request_error`.
    std::string type;
    /// Short code for programs, for instance `queue_full`.
    std::string code;
    std::string message;
    RunOutcome outcome = RunOutcome::NotRun;
    std::optional<Duration> retryAfter;
};

/// The error of an entry whose view of contracts and keys is stale.
ApiError viewStaleError(RunOutcome outcome);

/// The error for a request that the scheduler or a limit refused.
ApiError refusalError(RefusalReason reason, Duration retryAfter);

/// The error object as JSON.
std::string apiErrorJson(const ApiError& error, const RequestId& request);

/// The response for an error, with `x-request-id` and `Retry-After`.
HttpResponse apiErrorResponse(const ApiError& error, const RequestId& request);

} // namespace wisteriayard
