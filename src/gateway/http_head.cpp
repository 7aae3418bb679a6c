#include "http_head.h"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    constexpr std::array hopByHopHeaders
        = { std::string_view("Connection"), std::string_view("Keep-Alive"), std::string_view("Proxy-Connection"),
              std::string_view("Proxy-Authenticate"), std::string_view("Proxy-Authorization"), std::string_view("TE"),
              std::string_view("Trailer"), std::string_view("Transfer-Encoding"), std::string_view("Upgrade"),
              std::string_view("Content-Length"), std::string_view("Expect") };

    boost::beast::string_view beastView(std::string_view text) { return { text.data(), text.size() }; }
    std::string_view stdView(boost::beast::string_view text) { return { text.data(), text.size() }; }

    std::string_view connectionValue(const HttpFields& fields)
    {
        auto found = fields.find(http::field::connection);
        return found == fields.end() ? std::string_view() : stdView(found->value());
    }

    std::string statusLine(unsigned status, std::string_view reason)
    {
        if (reason.empty())
            reason = stdView(http::obsolete_reason(http::int_to_status(status)));
        std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
        line.append(reason).append("\r\n");
        return line;
    }

    /// Least value of Retry-After; less would be rounded to zero, which names no time.
    constexpr Duration minRetryAfter = std::chrono::milliseconds(10);

    std::string secondsText(Duration time)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%.2f", toSeconds(time));
        return text;
    }

} // namespace

void appendHeader(std::string& head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

bool isHopByHopHeader(std::string_view name, std::string_view connection)
{
    auto same = [name](std::string_view other) { return boost::beast::iequals(beastView(name), beastView(other)); };
    if (std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), same))
        return true;
    return !connection.empty() && http::token_list(beastView(connection)).exists(beastView(name));
}

std::string endpointRequestLines(const RequestHead& head, const WireCodec& codec)
{
    std::string_view connection = connectionValue(head);
    auto isForwarded = [&](const auto& field) {
        std::string_view name = stdView(field.name_string());
        return !isHopByHopHeader(name, connection) && !codec.isReserved(name);
    };
    constexpr std::string_view version = " HTTP/1.1\r\n";
    constexpr std::size_t separators = std::string_view(": \r\n").size();
    std::size_t size = head.method_string().size() + 1 + head.target().size() + version.size();
    for (const auto& field : head)
        size += field.name_string().size() + field.value().size() + separators;
    std::string text;
    text.reserve(size);
    text.append(stdView(head.method_string())).append(" ").append(stdView(head.target())).append(version);
    for (const auto& field : head) {
        if (isForwarded(field))
            appendHeader(text, stdView(field.name_string()), stdView(field.value()));
    }
    return text;
}

std::string endpointRequestEnd(
    const WireCodec& codec, const ForwardingHeaders& forwarding, std::optional<std::size_t> bodySize)
{
    std::string text;
    codec.appendForwardingHeaders(text, forwarding);
    if (bodySize)
        appendHeader(text, "Content-Length", std::to_string(*bodySize));
    return text.append("\r\n");
}

EndpointHead::EndpointHead(const ResponseHead& head)
    : status(head.result_int())
    , lines(statusLine(head.result_int(), stdView(head.reason())))
{
    std::string_view connection = connectionValue(head);
    for (const auto& field : head) {
        std::string_view name = stdView(field.name_string());
        if (!isHopByHopHeader(name, connection))
            appendHeader(lines, name, stdView(field.value()));
    }
    lines.shrink_to_fit();
    // HTTP forbids a length with 204.
    auto length = head.find(http::field::content_length);
    if (length != head.end() && head.result() != http::status::no_content)
        statedLength = std::string(stdView(length->value()));
}

bool EndpointHead::isSuccess() const { return http::to_status_class(status) == http::status_class::successful; }

bool EndpointHead::isBodyless(bool isHeadRequest) const
{
    auto known = http::int_to_status(status);
    return isHeadRequest || known == http::status::no_content || known == http::status::not_modified;
}

std::string callerResponseHead(const EndpointHead& head, BodyFraming framing, std::size_t bodySize, bool keepAlive)
{
    std::string text = head.lines;
    // The length that a bodyless response states is that of the body which it leaves out.
    if (framing == BodyFraming::Bodyless && head.statedLength)
        appendHeader(text, "Content-Length", *head.statedLength);
    if (framing == BodyFraming::Length)
        appendHeader(text, "Content-Length", std::to_string(bodySize));
    if (framing == BodyFraming::Chunked)
        appendHeader(text, "Transfer-Encoding", "chunked");
    if (!keepAlive || framing == BodyFraming::UntilClose)
        appendHeader(text, "Connection", "close");
    return text.append("\r\n");
}

LocalResponse stoppingResponse()
{
    return { 503, "stopping", "this entry is stopping; another one takes the request", Duration(0) };
}

std::string localResponseText(
    const LocalResponse& response, const WireCodec& codec, const RequestId& request, bool keepAlive)
{
    nlohmann::json body = { { "error", { { "code", response.code }, { "message", response.message } } } };
    std::string bodyText = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::string text = statusLine(response.status, {});
    appendHeader(text, "Content-Type", "application/json");
    appendHeader(text, "Content-Length", std::to_string(bodyText.size()));
    codec.appendLocalResponseHeaders(text, request);
    if (response.retryAfter)
        appendHeader(text, "Retry-After", secondsText(std::max(minRetryAfter, *response.retryAfter)));
    if (!keepAlive)
        appendHeader(text, "Connection", "close");
    return text.append("\r\n").append(bodyText);
}

std::string chunkText(std::string_view data)
{
    constexpr int hexadecimal = 16;
    char size[20];
    auto result = std::to_chars(size, size + sizeof(size), data.size(), hexadecimal);
    std::string text(size, result.ptr);
    return text.append("\r\n").append(data).append("\r\n");
}

} // namespace wisteriayard
