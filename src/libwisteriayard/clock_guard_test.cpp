#define BOOST_TEST_MODULE clock_guard
#include "wisteriayard/clock_guard.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t wall = 1'780'000'000'000;
const TimePoint start(seconds(50));

struct JumpCase {
    std::int64_t jump;
    /// Resulting error of the guarded time.
    std::int64_t followed;
};
std::ostream& operator<<(std::ostream& out, const JumpCase& each) { return out << each.jump; }

const JumpCase jumpCases[] = { { 0, 0 }, { 100, 100 }, { 2400, 0 }, { -3000, 0 } };

struct PeerCase {
    std::vector<std::int64_t> differences;
    std::int64_t corrected;
};
std::ostream& operator<<(std::ostream& out, const PeerCase& each) { return out << each.differences.size(); }

const PeerCase peerCases[] = {
    { { 2400 }, 0 },
    { { 2400, 2400, 2400 }, 2400 },
    { { 2400, 0, 10, -5 }, 0 },
    { { 20, -30, 50 }, 0 },
};

} // namespace

// Guards against usage that is counted in the wrong window after a jump of the wall clock.
BOOST_DATA_TEST_CASE(jumps_are_not_followed, data::make(jumpCases), each)
{
    ClockGuard guard;
    BOOST_TEST(guard.guardedMilliseconds(wall, start) == wall);
    std::int64_t later = guard.guardedMilliseconds(wall + 1000 + each.jump, start + seconds(1));
    BOOST_TEST(later == wall + 1000 + each.followed);
    BOOST_TEST(guard.takeJump().has_value() == (each.jump != each.followed));
}

// Guards against a process that starts with a wrong clock and keeps it, and against following a minority.
BOOST_DATA_TEST_CASE(lasting_majority_corrects, data::make(peerCases), each)
{
    ClockGuard guard;
    guard.guardedMilliseconds(wall, start);
    std::int64_t corrected = 0;
    for (int step = 0; step <= 20; ++step) {
        Duration passed = milliseconds(150 * step);
        std::int64_t truth = wall + 150 * step;
        for (std::size_t i = 0; i < each.differences.size(); ++i)
            corrected
                += guard.recordPeerTime(InstanceId(std::to_string(i)), truth + each.differences[i] + 0, start + passed);
        if (corrected != 0)
            break;
    }
    BOOST_TEST(corrected == each.corrected);
}

// Guards against a wrong correction after a pause of the process (7.6 s on trouble-2): the queued datagrams are read in
// a burst, and their old times looked like wrong clocks.
BOOST_AUTO_TEST_CASE(old_messages_after_a_pause_do_not_correct)
{
    ClockGuard guard;
    guard.guardedMilliseconds(wall, start);
    TimePoint woken = start + milliseconds(7600);
    for (int sent = 0; sent <= 7600; sent += 150) {
        for (int peer = 0; peer < 4; ++peer)
            BOOST_TEST(guard.recordPeerTime(InstanceId(std::to_string(peer)), wall + sent, woken) == 0);
    }
    BOOST_TEST(guard.recordPeerTime(InstanceId("0"), wall + 9700, woken + milliseconds(2100)) == 0);
}

// Guards against a clock that drifts because the time of an earlier moment was asked for: records of endpoints are
// applied up to seconds after the store confirmed them, and usage was counted in wrong windows.
BOOST_AUTO_TEST_CASE(time_of_an_earlier_moment_does_not_shift_the_clock)
{
    ClockGuard guard;
    guard.guardedMilliseconds(wall, start);
    for (int step = 1; step <= 40; ++step) {
        TimePoint now = start + milliseconds(100 * step);
        std::int64_t earlier = guard.guardedMillisecondsAt(wall + 100 * step, now, now - milliseconds(200));
        BOOST_TEST(earlier == wall + 100 * step - 200);
        BOOST_TEST(guard.guardedMilliseconds(wall + 100 * step, now) == wall + 100 * step);
    }
    BOOST_TEST(!guard.takeJump().has_value());
}
