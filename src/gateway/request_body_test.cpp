#define BOOST_TEST_MODULE request_body
#include "request_body.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kibibyte = 1024;

struct MemoryCase {
    const char* name;
    std::uint64_t size;
    boost::optional<std::uint64_t> stated;
    std::uint64_t memory;
};
std::ostream& operator<<(std::ostream& out, const MemoryCase& each) { return out << each.name; }

const MemoryCase memoryCases[] = {
    { "no body", 0, std::uint64_t { 0 }, 0 },
    { "small stated length", 0, std::uint64_t { 2000 }, 2000 },
    { "large stated length, nothing received", 0, std::uint64_t { 4'000'000 }, 64 * kibibyte },
    { "first step is full", 64 * kibibyte, std::uint64_t { 4'000'000 }, 64 * kibibyte },
    { "second step", 64 * kibibyte + 1, std::uint64_t { 4'000'000 }, 128 * kibibyte },
    { "last step", 3'000'000, std::uint64_t { 4'000'000 }, 4'000'000 },
    { "input beyond the body", 5'000'000, std::uint64_t { 4'000'000 }, 4'000'000 },
    { "no stated length, nothing received", 0, boost::none, 0 },
    { "no stated length, little received", 1, boost::none, kibibyte },
    { "no stated length, much received", 100 * kibibyte, boost::none, 128 * kibibyte },
};

const std::size_t blockSizes[] = { 1000, 16 * kibibyte, 300 * kibibyte };

} // namespace

// Guards against memory of the stated length before its bytes arrive, and against less memory than bytes.
BOOST_DATA_TEST_CASE(memory_grows_with_the_body, data::make(memoryCases), each)
{
    BOOST_TEST(bodyMemory(each.size, each.stated) == each.memory);
}

// Guards against a string that allocates more than is reserved for it, and against changed content.
BOOST_DATA_TEST_CASE(capacity_stays_within_the_memory, data::make(blockSizes), blockSize)
{
    const std::size_t length = 1'000'000;
    std::string content;
    for (std::size_t index = 0; index < length; ++index)
        content += static_cast<char>('a' + index % 23);
    http::request_parser<RequestBody> parser;
    parser.body_limit(length);
    parser.eager(true);
    boost::system::error_code error;
    std::string head = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    parser.put(boost::asio::buffer(head), error);
    BOOST_TEST(parser.get().body().capacity() < 64u);
    for (std::size_t sent = 0; sent < length && !parser.is_done();) {
        std::string block = content.substr(sent, blockSize);
        sent += parser.put(boost::asio::buffer(block), error);
        const std::string& body = parser.get().body();
        BOOST_TEST(body.size() == sent);
        BOOST_TEST(body.capacity() <= bodyMemory(sent, parser.content_length()));
    }
    BOOST_TEST(parser.is_done());
    BOOST_TEST((parser.get().body() == content));
}
