#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace wisteriayard {

/// Error codes that callers can act on.
enum class Errc {
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Unauthorized,
    LimitExceeded,
    Protocol,
};

/// Name of an error code in logs and JSON.
std::string_view errcName(Errc code);

/// An error code with a message.
struct Error {
    Errc code = Errc::InvalidArgument;
    std::string message;
};

/// A value or an Error. Accessing the alternative that is not present is a programming error and
/// terminates the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Makes a failed result.
/// @param message human-readable text that includes the offending value
inline auto fail(Errc code, std::string message)
{
    return boost::outcome_v2::failure(Error { code, std::move(message) });
}

/// Result of an operation without a value.
using Status = Result<void>;

} // namespace wisteriayard
