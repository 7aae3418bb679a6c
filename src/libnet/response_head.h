#pragma once

#include "wisteriayard/error.h"

#include <boost/beast/http/message.hpp>

#include <string_view>

namespace wisteriayard {

/// Class of a response's status. The parser's status enumeration names only registered codes, so it can't tell the
/// class of others.
boost::beast::http::status_class statusClass(const boost::beast::http::response_header<>& head);

/// Whether a response is informational, so that another one follows for the same request.
bool isInformational(const boost::beast::http::response_header<>& head);

/// Checks what the parser leaves open: it accepts each status of three digits and ignores unknown transfer codings. A
/// header that passes can be forwarded as it is.
/// @return Protocol if the response must not be used
Status checkResponseHead(const boost::beast::http::response_header<>& head);

/// Checks the lines of a header or trailer for folds, which the parser joins with the line before. A line that begins
/// with a blank is a part of a field for some readers and a field for others.
/// @return Protocol if there is one
Status checkFieldLines(std::string_view lines);

} // namespace wisteriayard
