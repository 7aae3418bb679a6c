#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace wisteriayard {

/// Kinds of error that a caller may act on.
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

/// Name of an error kind as it appears in logs and JSON.
/// @param code the kind
/// @return a static string
std::string_view errcName(Errc code);

/// An error as a value.
struct Error {
    Errc code = Errc::InvalidArgument;
    std::string message;
};

/// A value or an Error. Reading the wrong side ends the process: it is a broken invariant.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Makes a failed result.
/// @param code kind of the error
/// @param message text for a person, with the offending value
inline auto fail(Errc code, std::string message)
{
    return boost::outcome_v2::failure(Error { code, std::move(message) });
}

/// Result of an operation without a value.
using Status = Result<void>;

} // namespace wisteriayard
