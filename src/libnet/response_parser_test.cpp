#define BOOST_TEST_MODULE response_parser
#include "response_parser.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

struct ParserCase {
    const char* name;
    std::string text;
    /// Absent unless the text is a whole response if the connection ends after it.
    std::optional<std::string> body;
    bool keepsConnection = false;
};
std::ostream& operator<<(std::ostream& out, const ParserCase& each) { return out << each.name; }

const ParserCase parserCases[] = {
    { "length", ok + "Content-Length: 5\r\n\r\nhello", "hello", true },
    { "length_and_close", ok + "Connection: close\r\nContent-Length: 5\r\n\r\nhello", "hello" },
    { "length_too_short", ok + "Content-Length: 5\r\n\r\nhell", {} },
    { "length_beyond_memory", ok + "Content-Length: 1000000000000000\r\n\r\nhello", {} },
    { "without_length", ok + "\r\nhello", "hello" },
    { "without_body", "HTTP/1.1 204 No Content\r\n\r\n", "", true },
    { "chunks", chunked + "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n", "hello", true },
    { "chunk_with_line_that_begins_with_blank", chunked + "6\r\na\r\n b\n\r\n0\r\n\r\n", "a\r\n b\n", true },
    { "no_chunks", chunked + "0\r\n\r\n", "", true },
    { "trailer_without_chunks", chunked + "0\r\nX-A: 1\r\n\r\n", "", true },
    { "chunks_without_last", chunked + "5\r\nhello\r\n", {} },
    { "trailer", chunked + "5\r\nhello\r\n0\r\nX-A: 1\r\nX-B:  2 \r\n\r\n", "hello", true },
    { "trailer_without_end", chunked + "5\r\nhello\r\n0\r\nX-A: 1\r\n", {} },
    { "fold_in_trailer", chunked + "5\r\nhello\r\n0\r\nX-A: 1\r\n X-B: 2\r\n\r\n", {} },
    { "fold_with_tab_in_trailer", chunked + "5\r\nhello\r\n0\r\nX-A: 1\r\n\tX-B: 2\r\n\r\n", {} },
    { "blank_before_first_name_of_trailer", chunked + "5\r\nhello\r\n0\r\n X-A: 1\r\n\r\n", {} },
    { "blank_in_name_of_trailer", chunked + "5\r\nhello\r\n0\r\nX A: 1\r\n\r\n", {} },
    { "blank_before_colon_of_trailer", chunked + "5\r\nhello\r\n0\r\nX-A : 1\r\n\r\n", {} },
    { "fold", ok + "X-A: 1\r\n X-B: 2\r\nContent-Length: 5\r\n\r\nhello", {} },
    { "fold_with_tab", ok + "X-A: 1\r\n\tX-B: 2\r\nContent-Length: 5\r\n\r\nhello", {} },
    { "fold_of_blanks", ok + "X-A: 1\r\n  \r\nContent-Length: 5\r\n\r\nhello", {} },
    { "folded_length", ok + "X-A: 1\r\n Content-Length: 5\r\n\r\nhello", {} },
    { "blank_before_first_name", ok + " X-A: 1\r\nContent-Length: 5\r\n\r\nhello", {} },
    { "blanks_around_values", ok + "X-A: \t 1 \t\r\nX-B:\r\nContent-Length:5\r\n\r\nhello", "hello", true },
    { "unfinished_head", ok + "Content-Length: 5\r\n", {} },
    { "no_response", "220 ready\r\n", {} },
    { "line_without_end", chunked + "5;" + std::string(40'000, 'x'), {} },
    { "head_without_end", ok + "X-A: " + std::string(40'000, 'x'), {} },
};

/// Passes a text to a parser in parts, with what was not parsed before.
/// @return the body of a whole response, if it is one
std::optional<std::string> parseInParts(ResponseParser& parser, std::string_view text, std::size_t partSize)
{
    std::string unparsed;
    std::string body;
    for (std::size_t begin = 0; begin < text.size(); begin += partSize) {
        unparsed += text.substr(begin, partSize);
        std::string_view input = unparsed;
        if (!parser.parse(input))
            return std::nullopt;
        unparsed = std::string(input);
        body += parser.takeBodyPart();
    }
    if (!parser.isDone() && !parser.endInput())
        return std::nullopt;
    return body;
}

const std::size_t partSizes[] = { 1, 2, 3, 7, 64, 100'000 };

} // namespace

// Guards against a response whose validity depends on how its bytes arrive, and against lines that other readers take
// for fields.
BOOST_DATA_TEST_CASE(
    only_whole_and_sound_responses_pass, data::make(parserCases) * data::make(partSizes), each, partSize)
{
    ResponseParser parser;
    auto body = parseInParts(parser, each.text, partSize);
    BOOST_TEST((body == each.body), body.value_or("none"));
    BOOST_TEST(parser.isDone() == each.body.has_value());
    if (each.body)
        BOOST_TEST(parser.keepsConnection() == each.keepsConnection);
}

// Guards against a response to a HEAD request whose length is taken for that of a body.
BOOST_AUTO_TEST_CASE(bodyless_response_ends_with_its_head)
{
    ResponseParser parser(true);
    std::string_view input = "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\nHTTP";
    BOOST_TEST(bool(parser.parse(input)));
    BOOST_TEST(parser.isDone());
    BOOST_TEST(input == "HTTP");
}
