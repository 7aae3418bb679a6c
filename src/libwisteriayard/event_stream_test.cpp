#define BOOST_TEST_MODULE event_stream
#include "wisteriayard/event_stream.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

struct SplitCase {
    std::string body;
    std::vector<std::optional<std::int64_t>> ids;
    std::string rest;
};
std::ostream& operator<<(std::ostream& out, const SplitCase& each) { return out << each.body.size(); }

const SplitCase splitCases[] = {
    { "", {}, "" },
    { "id: 1\ndata: a\n\nid:2\ndata: b\n\n", { 1, 2 }, "" },
    { "id: 1\r\ndata: a\r\n\r\n", { 1 }, "" },
    { "data: x\nid: 7\n\n", { 7 }, "" },
    { "data: id: 9\n\n", { std::nullopt }, "" },
    { "id: 1\ndata: a\n\nid: 2\nda", { 1 }, "id: 2\nda" },
};

} // namespace

// Guards against forwarding an incomplete event of an endpoint that then crashes, for every chunk size.
BOOST_DATA_TEST_CASE(whole_events_only, data::make(splitCases) ^ data::xrange(std::size(splitCases)), each, number)
{
    (void)number;
    for (std::size_t piece = 1; piece <= each.body.size() + 1; ++piece) {
        EventStream stream;
        std::vector<std::optional<std::int64_t>> ids;
        std::string text;
        for (std::size_t start = 0; start < each.body.size(); start += piece) {
            stream.feed(std::string_view(each.body).substr(start, piece));
            while (auto event = stream.next()) {
                ids.push_back(event->id);
                text += event->text;
            }
        }
        BOOST_TEST((ids == each.ids));
        BOOST_TEST(text + stream.pendingBytes() == each.body);
        BOOST_TEST(stream.pendingBytes() == each.rest);
    }
}

struct SizeCase {
    const char* name;
    std::size_t bytes;
    const char* end;
    bool oversized;
};
std::ostream& operator<<(std::ostream& out, const SizeCase& each) { return out << each.name; }

const SizeCase sizeCases[] = {
    { "whole", EventStream::maxEventBytes + 10, "\n\n", false },
    { "at_the_limit", EventStream::maxEventBytes, "", false },
    { "above_the_limit", EventStream::maxEventBytes + 1, "", true },
};

// Guards against buffering an unterminated event until memory runs out.
BOOST_DATA_TEST_CASE(event_without_end_is_noticed, data::make(sizeCases), each)
{
    EventStream stream;
    stream.feed(std::string(each.bytes, 'x') + each.end);
    while (stream.next()) { }
    BOOST_TEST(stream.isOversized() == each.oversized);
}
