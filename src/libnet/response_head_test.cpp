#define BOOST_TEST_MODULE response_head
#include "response_head.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace http = boost::beast::http;
namespace data = boost::unit_test::data;

namespace {

struct HeadCase {
    const char* start;
    bool isSound;
    bool isInformational = false;
};
std::ostream& operator<<(std::ostream& out, const HeadCase& each) { return out << each.start; }

const HeadCase headCases[] = {
    { "HTTP/1.1 000 OK", false },
    { "HTTP/1.1 099 OK", false },
    { "HTTP/1.1 100 Continue", true, true },
    { "HTTP/1.1 101 Switching Protocols", false, true },
    { "HTTP/1.1 103 Early Hints", true, true },
    { "HTTP/1.1 199 Odd", true, true },
    { "HTTP/1.1 200 OK", true },
    { "HTTP/1.0 200 ", true },
    { "HTTP/1.1 421 Misdirected Request", true },
    { "HTTP/1.1 599 Odd", true },
    { "HTTP/1.1 600 Odd", false },
    { "HTTP/1.1 999 Odd", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked", true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding:", false },
};

} // namespace

// Guards against responses that the parser accepts although they can't be forwarded: a status without a class, or a
// body in a coding that is lost on the way. Guards also against unregistered informational statuses that count as
// final.
BOOST_DATA_TEST_CASE(only_sound_heads_pass, data::make(headCases), each)
{
    http::response_parser<http::string_body> parser;
    parser.eager(false);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(each.start + std::string("\r\n\r\n")), error);
    BOOST_REQUIRE_MESSAGE(!error, error.message());
    BOOST_REQUIRE(parser.is_header_done());
    BOOST_TEST(bool(checkResponseHead(parser.get().base())) == each.isSound);
    BOOST_TEST(isInformational(parser.get().base()) == each.isInformational);
}
