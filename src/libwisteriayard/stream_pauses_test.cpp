#define BOOST_TEST_MODULE stream_pauses
#include "wisteriayard/stream_pauses.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double tokenTimeUs = 20;
constexpr double eventTimeUs = 40'000;

struct Row {
    const char* what;
    std::int64_t backlog;
    Duration objective;
    Duration pause;
    /// Whether the rules have an effect after 50 such events.
    bool hasEffect;
};
std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.what; }

// Within an objective of 200 ms, less the 40 ms of an event, an engine computes 8,000 tokens.
const Row rows[] = {
    { "late events beside a long queue", 10'000, milliseconds(200), milliseconds(250), true },
    { "events in time beside a long queue: small chunks", 10'000, milliseconds(200), milliseconds(150), false },
    { "late events beside a short queue have another cause", 4'000, milliseconds(200), milliseconds(250), false },
    { "no objective for pauses", 10'000, milliseconds(0), milliseconds(250), false },
};

} // namespace

// Failure: the pools for long and short prompts are kept apart at any cost where pauses have another cause.
BOOST_DATA_TEST_CASE(only_late_events_beside_long_queues_count, data::make(rows), row)
{
    StreamPauses pauses;
    StreamPauses::Engine engine;
    pauses.recordObjective(row.objective, TimePoint(seconds(1)));
    pauses.recordBacklog(engine, row.backlog, milliseconds(10));
    for (int i = 0; i < 50; ++i)
        pauses.recordEvents(engine, 1, row.pause, tokenTimeUs, eventTimeUs);
    BOOST_TEST((pauses.latePart() > 0.9) == row.hasEffect);
    BOOST_TEST((pauses.latePart() == 0) == !row.hasEffect);
}

// Failure: the queue that delayed an event has been computed when the event arrives, so the event doesn't count.
BOOST_AUTO_TEST_CASE(queues_count_for_the_time_of_one_objective)
{
    StreamPauses pauses;
    StreamPauses::Engine engine;
    pauses.recordObjective(milliseconds(200), TimePoint(seconds(1)));
    pauses.recordBacklog(engine, 20'000, milliseconds(10));
    pauses.recordBacklog(engine, 0, milliseconds(100));
    BOOST_TEST(engine.recentTokens == 10'000, boost::test_tools::tolerance(1e-6));
    pauses.recordBacklog(engine, 0, milliseconds(250));
    BOOST_TEST(engine.recentTokens == 0);
}

// Failure: a route with a short objective that is gone decides for the others forever.
BOOST_AUTO_TEST_CASE(the_shortest_recent_objective_counts)
{
    StreamPauses pauses;
    TimePoint start(seconds(1));
    pauses.recordObjective(milliseconds(500), start);
    pauses.recordObjective(milliseconds(200), start + seconds(1));
    pauses.recordObjective(milliseconds(500), start + seconds(2));
    BOOST_TEST((pauses.objective() == milliseconds(200)));
    pauses.recordObjective(milliseconds(500), start + seconds(40));
    BOOST_TEST((pauses.objective() == milliseconds(500)));
}
