#include "wisteriayard/error.h"

namespace wisteriayard {

std::string_view errcName(Errc code)
{
    switch (code) {
    case Errc::InvalidArgument:
        return "invalid_argument";
    case Errc::NotFound:
        return "not_found";
    case Errc::Conflict:
        return "conflict";
    case Errc::Unavailable:
        return "unavailable";
    case Errc::Timeout:
        return "timeout";
    case Errc::Unauthorized:
        return "unauthorized";
    case Errc::LimitExceeded:
        return "limit_exceeded";
    case Errc::Protocol:
        return "protocol";
    }
    return "unknown";
}

} // namespace wisteriayard
