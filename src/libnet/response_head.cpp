#include "response_head.h"

#include <boost/beast/core/string.hpp>

#include <string>

namespace wisteriayard {

namespace http = boost::beast::http;

http::status_class statusClass(const http::response_header<>& head) { return http::to_status_class(head.result_int()); }

bool isInformational(const http::response_header<>& head)
{
    return statusClass(head) == http::status_class::informational;
}

Status checkResponseHead(const http::response_header<>& head)
{
    if (statusClass(head) == http::status_class::unknown)
        return fail(Errc::Protocol, "status " + std::to_string(head.result_int()) + " belongs to no class");
    // No request asks for another protocol, and what follows would not be HTTP.
    if (head.result() == http::status::switching_protocols)
        return fail(Errc::Protocol, "the response switches the protocol");
    auto codings = head.equal_range(http::field::transfer_encoding);
    for (auto field = codings.first; field != codings.second; ++field) {
        if (!boost::beast::iequals(field->value(), "chunked"))
            return fail(Errc::Protocol, "transfer coding other than chunked");
    }
    return boost::outcome_v2::success();
}

Status checkFieldLines(std::string_view lines)
{
    for (const char* fold : { "\r\n ", "\r\n\t" }) {
        if (lines.find(fold) != std::string_view::npos)
            return fail(Errc::Protocol, "a line of a field begins with a blank");
    }
    return boost::outcome_v2::success();
}

} // namespace wisteriayard
