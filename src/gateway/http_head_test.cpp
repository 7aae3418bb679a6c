#define BOOST_TEST_MODULE http_head
#include "http_head.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A codec for a platform without headers of its own.
class PlainCodec : public WireCodec {
public:
    Result<RequestTraits> decodeRequest(const HttpFields&) const override { return RequestTraits {}; }
    bool isReserved(std::string_view) const override { return false; }
    void appendForwardingHeaders(std::string&, const ForwardingHeaders&) const override { }
    ResponseTraits decodeResponse(unsigned, const HttpFields&) const override { return {}; }
    void appendLocalResponseHeaders(std::string&, const RequestId&) const override { }
};

struct RetryCase {
    Duration retryAfter;
    const char* header;
};
std::ostream& operator<<(std::ostream& out, const RetryCase& each) { return out << each.header; }

const RetryCase retryCases[] = {
    { Duration(0), "Retry-After: 0.01\r\n" },
    { microseconds(1), "Retry-After: 0.01\r\n" },
    { microseconds(4900), "Retry-After: 0.01\r\n" },
    { milliseconds(11), "Retry-After: 0.01\r\n" },
    { milliseconds(300), "Retry-After: 0.30\r\n" },
    { seconds(20), "Retry-After: 20.00\r\n" },
};

struct BodylessCase {
    const char* name;
    boost::beast::http::status status;
    /// Whether the length that the endpoint states is forwarded.
    bool keepsLength;
};
std::ostream& operator<<(std::ostream& out, const BodylessCase& each) { return out << each.name; }

const BodylessCase bodylessCases[] = {
    { "HEAD", boost::beast::http::status::ok, true },
    { "not modified", boost::beast::http::status::not_modified, true },
    { "no content", boost::beast::http::status::no_content, false },
};

} // namespace

// Guards against callers that wait for the body of a response that never has one: HTTP forbids a length with 204.
BOOST_DATA_TEST_CASE(bodyless_response_keeps_the_length_of_the_body_left_out, data::make(bodylessCases), each)
{
    ResponseHead head;
    head.result(each.status);
    head.set(boost::beast::http::field::content_length, "600");
    std::string text = callerResponseHead(EndpointHead(head), BodyFraming::Bodyless, 0, true);
    BOOST_TEST((text.find("Content-Length") != std::string::npos) == each.keepsLength, text);
}

// Guards against a refusal that asks the caller to return after no time, because a short time was rounded to zero.
BOOST_DATA_TEST_CASE(retry_after_is_never_zero, data::make(retryCases), each)
{
    LocalResponse response { 503, "overloaded", "no endpoint", each.retryAfter };
    std::string text = localResponseText(response, PlainCodec(), RequestId("r"), true);
    BOOST_TEST(text.find(each.header) != std::string::npos, text);
}
