#include "response_parser.h"

#include "chunked_body.h"
#include "response_head.h"

#include <algorithm>
#include <utility>

namespace wisteriayard {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::uint32_t maxHeadBytes = 16 * 1024;
    /// Limit on bytes that the parser has not consumed. The parser limits the header, but neither the length
    /// of a chunk-size line nor the trailer fields after the last chunk.
    constexpr std::size_t maxUnparsedBytes = 32 * 1024;

    Error parseError(const boost::system::error_code& error)
    {
        return { Errc::Protocol, "the response can't be parsed: " + error.message() };
    }

} // namespace

ResponseParser::ResponseParser(bool bodyless)
{
    m_parser.header_limit(maxHeadBytes);
    m_parser.body_limit(boost::none);
    m_parser.skip(bodyless);
    // The last chunk and its trailer are then parsed by a call of their own.
    m_parser.eager(false);
}

Status ResponseParser::checkUnfinishedHead(std::string_view input)
{
    if (input.size() >= maxHeadBytes)
        return fail(Errc::Protocol, "the response's head exceeds the size limit");
    std::size_t line = input.find(lineEnd);
    bool isNewLine = line != std::string_view::npos && line + lineEnd.size() > m_searched;
    bool isUnchecked = m_searched == 0 || isNewLine;
    m_searched = input.size() - std::min(input.size(), headEnd.size() - 1);
    if (!isUnchecked || input.empty())
        return boost::outcome_v2::success();
    http::response_parser<PartialBody> firstLine;
    firstLine.header_limit(maxHeadBytes);
    boost::system::error_code error;
    firstLine.put(boost::asio::buffer(input.substr(0, line)), error);
    if (error && error != http::error::need_more)
        return parseError(error);
    return boost::outcome_v2::success();
}

Status ResponseParser::put(std::string_view& input, std::size_t size)
{
    bool isHead = !m_parser.is_header_done();
    boost::system::error_code error;
    std::string_view parsed = input.substr(0, m_parser.put(boost::asio::buffer(input.substr(0, size)), error));
    input.remove_prefix(parsed.size());
    if (error && error != http::error::need_more)
        return parseError(error);
    bool isTrailer = !isHead && m_parser.chunked() && m_parser.is_done();
    return isHead || isTrailer ? checkFieldLines(parsed) : boost::outcome_v2::success();
}

Status ResponseParser::parse(std::string_view& input)
{
    while (!input.empty() && !m_parser.is_done()) {
        std::size_t size = input.size();
        std::size_t given = size;
        if (!m_parser.is_header_done()) {
            std::size_t end = input.find(headEnd, m_searched);
            if (end == std::string_view::npos)
                return checkUnfinishedHead(input);
            given = end + headEnd.size();
            m_searched = 0;
        } else if (!m_isBodyBegun && m_parser.chunked() && isPartOfEmptyChunkedBody(input)) {
            break;
        } else {
            m_isBodyBegun = true;
        }
        Status parsed = put(input, given);
        m_isInvalid = !parsed;
        if (!parsed)
            return parsed;
        if (input.size() == size)
            break;
    }
    if (!m_parser.is_done() && input.size() > maxUnparsedBytes)
        return fail(Errc::Protocol, "the response has an unterminated line beyond the size limit");
    return boost::outcome_v2::success();
}

bool ResponseParser::endInput()
{
    boost::system::error_code error = http::error::partial_message;
    if (m_parser.is_header_done())
        m_parser.put_eof(error);
    return !error && isDone();
}

std::string ResponseParser::takeBodyPart() { return std::exchange(m_parser.get().body(), std::string()); }

} // namespace wisteriayard
