#pragma once

#include "wisteriayard/error.h"

#include <boost/beast/http/message.hpp>

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

} // namespace wisteriayard
