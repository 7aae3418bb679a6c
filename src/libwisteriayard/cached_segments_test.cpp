#define BOOST_TEST_MODULE cached_segments
#include "wisteriayard/cached_segments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::seconds;

namespace {

const TimePoint start(seconds(50));
const EndpointId engine("e1");
const SegmentTag segment = segmentTag(42);

struct UseCase {
    const char* name;
    /// The first use is known from a cache hint of another entry, rather than from a request of this one.
    bool byPeer;
    /// Time from the first use to the next use by this entry.
    Duration after;
    bool cached;
    bool hintDue;
};
std::ostream& operator<<(std::ostream& out, const UseCase& each) { return out << each.name; }

const UseCase useCases[] = {
    { "used again at once", false, seconds(1), true, false },
    { "hint of a peer, used at once", true, seconds(1), true, false },
    { "used again later", false, seconds(5), true, true },
    { "hint of a peer, used later", true, seconds(5), true, true },
    { "expired", false, seconds(15), false, true },
};

} // namespace

// Pattern: requests of several entries share long prompt segments. Guards against counting a segment as cached after
// the engine has dropped it, and against cache hints whose number grows with the requests instead of the segments.
BOOST_DATA_TEST_CASE(hints_are_repeated_at_intervals, data::make(useCases), each)
{
    CachedSegments segments { seconds(15) };
    BOOST_TEST(!segments.contains(segment, start));
    if (each.byPeer)
        segments.recordPeerUse(segment, start);
    else
        BOOST_TEST(segments.recordOwnUse(segment, start));
    TimePoint later = start + each.after;
    BOOST_TEST(segments.contains(segment, later) == each.cached);
    BOOST_TEST(segments.recordOwnUse(segment, later) == each.hintDue);
    BOOST_TEST(segments.contains(segment, later));
}

// Guards against hints that are lost with a single datagram, and against hints that are sent without end.
BOOST_AUTO_TEST_CASE(each_hint_is_sent_twice)
{
    CacheHints hints;
    hints.add(engine, segment);
    BOOST_TEST(hints.nextRound().at(engine).size() == 1u);
    hints.add(engine, segmentTag(43));
    BOOST_TEST(hints.nextRound().at(engine).size() == 2u);
    BOOST_TEST(hints.nextRound().at(engine).size() == 1u);
    BOOST_TEST(hints.nextRound().empty());
    for (std::uint64_t i = 0; i < 5000; ++i)
        hints.add(engine, segmentTag(i));
    BOOST_TEST(hints.nextRound().at(engine).size() <= 1024u);
}

// Guards against memory, and time for removing expired segments, that grow with the segments that callers name: each
// request can name thousands.
BOOST_AUTO_TEST_CASE(number_of_segments_is_limited)
{
    constexpr std::size_t limit = 4096;
    CachedSegments segments { seconds(15) };
    for (std::uint64_t i = 0; i < 3 * limit; ++i)
        BOOST_TEST(segments.recordOwnUse(segmentTag(i), start) == (i < limit));
    BOOST_TEST(segments.size() == limit);
    BOOST_TEST(!segments.contains(segmentTag(limit), start));
    BOOST_TEST(segments.recordOwnUse(segmentTag(1), start + seconds(5)));
    // Segments that have expired make room for others.
    TimePoint later = start + seconds(16);
    BOOST_TEST(segments.recordOwnUse(segmentTag(limit), later));
    BOOST_TEST(segments.contains(segmentTag(1), later));
    BOOST_TEST(!segments.contains(segmentTag(2), later));
}
