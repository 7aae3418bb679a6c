#pragma once

#include "platform_port.h"

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

using RequestHead = boost::beast::http::request_header<>;
using AnswerHead = boost::beast::http::response_header<>;

/// Whether a header concerns one connection only and is not passed on.
/// @param connection value of the message's Connection header, which may name further ones
bool isConnectionHeader(std::string_view name, std::string_view connection);

/// Appends a line to a head.
void appendHeader(std::string& head, std::string_view name, std::string_view value);

/// Writes the head of a caller's request for an endpoint.
/// @param bodySize bytes of the body; none if the request has no body
std::string endpointRequestHead(
    const RequestHead& head, const WireCodec& codec, const OfferHeaders& offer, std::optional<std::size_t> bodySize);

/// How a body is delimited for the caller.
enum class BodyFraming {
    Length,
    Chunked,
    UntilClose,
};

/// Writes the head of an endpoint's answer for the caller.
/// @param keepOpen the connection serves further requests
std::string callerAnswerHead(const AnswerHead& head, BodyFraming framing, std::size_t bodySize, bool keepOpen);

/// An answer of the entry itself.
struct OwnAnswer {
    unsigned status = 503;
    /// Code for programs.
    std::string code;
    std::string message;
    std::optional<Duration> retryAfter;
};

/// Writes a whole answer of the entry itself.
std::string ownAnswerText(const OwnAnswer& answer, const WireCodec& codec, const RequestId& request, bool keepOpen);

/// Writes one chunk of a chunked body.
std::string chunkText(std::string_view data);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace wisteriayard
