#define BOOST_TEST_MODULE prefill_pool
#include "wisteriayard/prefill_pool.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Tokens longPrompt(9000);
const Tokens shortPrompt(800);

struct SizeCase {
    /// Engine time that each kind of prompts needs, in seconds per second.
    double longWork;
    double shortWork;
    std::size_t engines;
    int longRank;
    int shortRank;
    std::size_t min;
    std::size_t max;
};
std::ostream& operator<<(std::ostream& out, const SizeCase& each)
{
    return out << each.longWork << '/' << each.shortWork << " of " << each.engines << ", ranks " << each.longRank << '/'
               << each.shortRank;
}

const SizeCase sizeCases[] = {
    { 0, 2, 12, 5, 3, 0, 0 },
    { 2, 0, 12, 5, 3, 0, 0 },
    { 1, 1, 2, 5, 3, 0, 0 },
    { 1.5, 2, 12, 5, 3, 7, 8 },
    { 6, 1, 12, 4, 4, 10, 11 },
    { 0.05, 6, 12, 5, 3, 1, 1 },
    // A fractional number of engines is rounded in favor of the kind with the higher rank.
    { 4.2, 1.8, 8, 5, 3, 6, 6 },
    { 4.2, 1.8, 8, 3, 5, 7, 7 },
    { 4.2, 1.8, 8, 4, 4, 6, 7 },
    { 6, 12, 12, 5, 3, 6, 6 },
    { 12, 12, 12, 3, 5, 9, 9 },
    { 50, 40, 180, 5, 3, 132, 132 },
};

} // namespace

// Pattern: the load of each kind of prompts changes over the day. Guards against a fixed share that starves one kind,
// and against giving the only engine for urgent short prompts to less urgent long ones.
BOOST_DATA_TEST_CASE(size_follows_the_work_of_each_kind, data::make(sizeCases), each)
{
    PrefillPool pool;
    TimePoint now(seconds(10));
    for (int i = 0; i < 300; ++i, now += milliseconds(50)) {
        if (each.longWork > 0)
            pool.recordWork(
                longPrompt, Duration(static_cast<std::int64_t>(each.longWork * 50'000)), Priority(each.longRank), now);
        if (each.shortWork > 0)
            pool.recordWork(shortPrompt, Duration(static_cast<std::int64_t>(each.shortWork * 50'000)),
                Priority(each.shortRank), now);
    }
    std::size_t size = pool.size(each.engines, now);
    BOOST_TEST(size >= each.min);
    BOOST_TEST(size <= each.max);
}

// Guards against entries that split the engines differently because each counts only its own requests.
BOOST_AUTO_TEST_CASE(work_of_other_entries_counts_until_it_expires)
{
    PrefillPool pool;
    TimePoint now(seconds(10));
    pool.recordWork(shortPrompt, seconds(3), Priority(0), now);
    pool.updatePeer(InstanceId("p"), WorkRates { 1, 0 }, 1, now);
    BOOST_TEST(pool.size(12, now) > 0u);
    BOOST_TEST(pool.size(12, now + seconds(5)) == 0u);
}

// Guards against a split that follows noise: each change sends requests to engines without their cached segments.
BOOST_AUTO_TEST_CASE(small_changes_keep_the_size)
{
    PrefillPool pool;
    TimePoint now(seconds(10));
    pool.updatePeer(InstanceId("p"), WorkRates { 1, 1.2 }, 1, now);
    std::size_t before = pool.size(12, now);
    pool.updatePeer(InstanceId("p"), WorkRates { 1.1, 1.2 }, 1, now);
    BOOST_TEST(pool.size(12, now) == before);
    pool.updatePeer(InstanceId("p"), WorkRates { 4, 1.2 }, 1, now);
    BOOST_TEST(pool.size(12, now) > before);
}

// Guards against counting a reported sum over many entries as the load of a single one, which would give a segment too
// few preferred endpoints.
BOOST_AUTO_TEST_CASE(reported_sums_count_all_entries)
{
    PrefillPool pool;
    TimePoint now(seconds(10));
    pool.updatePeer(InstanceId("p"), WorkRates { 1, 1 }, 1, now);
    pool.updatePeer(InstanceId("region/far"), WorkRates { 20, 30 }, 50, now);
    BOOST_TEST(pool.peerEntries(now) == 51u);
    BOOST_TEST(pool.peerEntries(now + seconds(5)) == 0u);
}
