#pragma once

#include "platform_port.h"

#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace wisteriayard {

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

/// Whether a header is hop-by-hop, so that it is not forwarded.
/// @param connection value of the message's Connection header, which may list further hop-by-hop headers
bool isHopByHopHeader(std::string_view name, std::string_view connection);

/// Appends a header line.
void appendHeader(std::string& head, std::string_view name, std::string_view value);

/// Formats the request line of a caller's request and those of its fields that are forwarded to endpoints. The
/// capacity of the text is about its size.
std::string endpointRequestLines(const RequestHead& head, const WireCodec& codec);

/// Formats the fields that this process adds to a forwarded request, and the end of its header.
/// @param bodySize size of the body in bytes; absent if the request has no body
std::string endpointRequestEnd(
    const WireCodec& codec, const ForwardingHeaders& forwarding, std::optional<std::size_t> bodySize);

/// How the end of a response body is marked for the caller.
enum class BodyFraming {
    Length,
    /// The response never has a body: its status or the request's method excludes one.
    Bodyless,
    Chunked,
    UntilClose,
};

/// Head of an endpoint's response in the form in which it is kept until it is forwarded.
///
/// The parser's fields take many times the size of the head (one node per line), and streams last long, so that the
/// fields are released as soon as the head is decoded.
struct EndpointHead {
    EndpointHead() = default;
    explicit EndpointHead(const ResponseHead& head);

    unsigned status = 0;
    /// Status line and forwarded fields, without the end of the head.
    std::string lines;
    /// Value of the Content-Length field; absent if the response has none or must not have one.
    std::optional<std::string> statedLength;

    bool isSuccess() const;
    /// Whether the response has no body regardless of its fields.
    /// @param isHeadRequest the request's method is HEAD
    bool isBodyless(bool isHeadRequest) const;
};

/// Formats the header of an endpoint's response as it is forwarded to the caller.
/// @param keepAlive the connection stays open for further requests
std::string callerResponseHead(const EndpointHead& head, BodyFraming framing, std::size_t bodySize, bool keepAlive);

/// A response that the gateway generates itself, as opposed to one from an endpoint.
struct LocalResponse {
    unsigned status = 503;
    /// Machine-readable error code.
    std::string code;
    std::string message;
    std::optional<Duration> retryAfter;
};

/// Response to a request that is refused because the process stops.
LocalResponse stoppingResponse();

/// Formats a complete response that the gateway generates itself.
std::string localResponseText(
    const LocalResponse& response, const WireCodec& codec, const RequestId& request, bool keepAlive);

/// Formats one chunk of a chunked body.
std::string chunkText(std::string_view data);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace wisteriayard
