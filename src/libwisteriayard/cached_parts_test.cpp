#define BOOST_TEST_MODULE cached_parts
#include "wisteriayard/cached_parts.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::seconds;

namespace {

const TimePoint start(seconds(50));
const EndpointId engine("e1");
const PartTag part = partTag(42);

struct UseCase {
    const char* name;
    /// Time of the first use, and whether another entry told of it.
    bool byPeer;
    /// Time until the next use by this entry.
    Duration after;
    bool held;
    bool toBeTold;
};
std::ostream& operator<<(std::ostream& out, const UseCase& each) { return out << each.name; }

const UseCase useCases[] = {
    { "used again at once", false, seconds(1), true, false },
    { "told by a peer at once", true, seconds(1), true, false },
    { "used again later", false, seconds(5), true, true },
    { "told by a peer before", true, seconds(5), true, true },
    { "out of the cache", false, seconds(15), false, true },
};

} // namespace

// Pattern: entries share long prompt parts. Guards against a part that is taken as cached after it was dropped, and
// against datagrams that grow with the requests instead of the parts.
BOOST_DATA_TEST_CASE(uses_are_told_once_in_a_while, data::make(useCases), each)
{
    CachedParts parts { seconds(15) };
    BOOST_TEST(!parts.holds(part, start));
    if (each.byPeer)
        parts.told(part, start);
    else
        BOOST_TEST(parts.used(part, start));
    TimePoint later = start + each.after;
    BOOST_TEST(parts.holds(part, later) == each.held);
    BOOST_TEST(parts.used(part, later) == each.toBeTold);
    BOOST_TEST(parts.holds(part, later));
}

// Guards against news that one lost datagram takes with it, and against news without an end.
BOOST_AUTO_TEST_CASE(news_are_given_out_twice)
{
    PartNews news;
    news.add(engine, part);
    BOOST_TEST(news.nextRound().at(engine).size() == 1u);
    news.add(engine, partTag(43));
    BOOST_TEST(news.nextRound().at(engine).size() == 2u);
    BOOST_TEST(news.nextRound().at(engine).size() == 1u);
    BOOST_TEST(news.nextRound().empty());
    for (std::uint64_t i = 0; i < 5000; ++i)
        news.add(engine, partTag(i));
    BOOST_TEST(news.nextRound().at(engine).size() <= 1024u);
}
