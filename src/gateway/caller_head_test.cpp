#define BOOST_TEST_MODULE caller_head
#include "caller_head.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
namespace http = boost::beast::http;

namespace {

/// A codec that takes the value of `Key` as the caller's key, and reserves `Own` for the gateway.
class TestCodec : public WireCodec {
public:
    Result<RequestTraits> decodeRequest(const HttpFields& fields) const override
    {
        if (fields.count("Key") == 0)
            return Error { Errc::InvalidArgument, "no key" };
        RequestTraits traits;
        traits.key = std::string(fields["Key"]);
        traits.prompt.resize(3);
        return traits;
    }
    bool isReserved(std::string_view name) const override { return name == "Own"; }
    void appendForwardingHeaders(std::string&, const ForwardingHeaders&) const override { }
    ResponseTraits decodeResponse(unsigned, const HttpFields&) const override { return {}; }
    void appendLocalResponseHeaders(std::string&, const RequestId&) const override { }
};

RequestHead sampleHead()
{
    RequestHead head;
    head.method_string("FETCH");
    head.target("/a/b?c=d");
    head.version(11);
    head.insert("Host", "h.example");
    head.insert("Key", "secret");
    return head;
}

struct LineCase {
    const char* name;
    const char* field;
    const char* value;
    /// Text that endpoints get; empty if the field is not forwarded.
    const char* forwarded;
};
std::ostream& operator<<(std::ostream& out, const LineCase& each) { return out << each.name; }

const LineCase lineCases[] = {
    { "ordinary field", "X-A", "b", "\r\nX-A: b\r\n" },
    { "empty value", "Cookie", "", "\r\nCookie: \r\n" },
    { "field for the connection", "Transfer-Encoding", "chunked", "" },
    { "field of the gateway", "Own", "x", "" },
};

} // namespace

// Guards against fields that are lost, changed or taken over from callers when a head is kept as text.
BOOST_DATA_TEST_CASE(fields_are_kept_as_they_are_forwarded, data::make(lineCases), each)
{
    ByteBudget budget { Bytes(std::numeric_limits<std::int64_t>::max()) };
    RequestHead fields = sampleHead();
    fields.insert(each.field, each.value);
    CallerHead head(fields, TestCodec(), budget);
    std::string lines = *head.lines();
    BOOST_TEST(lines.rfind("FETCH /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n", 0) == 0u, lines);
    std::string forwarded(each.forwarded);
    bool isForwarded = lines.find(each.field) != std::string::npos;
    BOOST_TEST(isForwarded == !forwarded.empty(), lines);
    BOOST_TEST(lines.find(forwarded) != std::string::npos, lines);
}

// Guards against values that are read from the wrong part of the text.
BOOST_AUTO_TEST_CASE(decoded_values_are_those_of_the_head)
{
    ByteBudget budget { Bytes(std::numeric_limits<std::int64_t>::max()) };
    CallerHead head(sampleHead(), TestCodec(), budget);
    BOOST_TEST(head.method() == "FETCH");
    BOOST_TEST(head.target() == "/a/b?c=d");
    BOOST_TEST(head.host().value() == "h.example");
    BOOST_TEST(!head.isHeadRequest());
    BOOST_TEST(head.traits().value().key == "secret");
}

// Guards against memory that is not counted: the text, copies of its values, and what is decoded from them.
BOOST_AUTO_TEST_CASE(size_includes_what_is_decoded)
{
    ByteBudget budget { Bytes(std::numeric_limits<std::int64_t>::max()) };
    RequestHead fields = sampleHead();
    CallerHead head(fields, TestCodec(), budget);
    std::size_t least = head.lines()->size() + std::string("h.examplesecret").size() + 3 * sizeof(PromptSegment);
    BOOST_TEST(head.size().value() >= static_cast<std::int64_t>(least));
    head.dropLines();
    BOOST_TEST(head.lines()->empty());
    BOOST_TEST(head.method().empty());
    BOOST_TEST(head.target().empty());
}
