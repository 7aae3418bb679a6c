#define BOOST_TEST_MODULE engine_memory
#include "wisteriayard/engine_memory.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RegionId home("home");
constexpr std::int64_t capacity = 100'000;
constexpr Duration lifetime = milliseconds(1500);

TimePoint at(Duration time) { return TimePoint(seconds(1000) + time); }
InstanceId entryId(int number) { return InstanceId("entry-" + std::to_string(number)); }
MemoryNeed plain(std::int64_t tokens) { return { {}, tokens }; }

LimitEntries makeEntries(int count)
{
    LimitEntries entries;
    entries.self = entryId(0);
    entries.active = true;
    for (int i = 0; i < count; ++i)
        entries.regions[entryId(i)] = home;
    return entries;
}

struct AdmissionCase {
    const char* name;
    /// Entries of the deployment, including the tested one.
    int entries;
    std::int64_t own;
    /// Use that each other entry reported, if it did.
    std::optional<std::int64_t> reported;
    Duration reportAge;
    std::int64_t size;
    bool isAdmitted;
};
std::ostream& operator<<(std::ostream& out, const AdmissionCase& each) { return out << each.name; }

// Mean size of requests is 1,000 tokens in all cases, without spread.
const std::vector<AdmissionCase> admissionCases {
    { "the only entry uses all of the memory", 1, 90'000, {}, {}, 10'000, true },
    { "but not more", 1, 90'000, {}, {}, 10'001, false },
    { "far from full", 5, 10'000, 8'000, milliseconds(100), 7'000, true },
    { "far from full with many entries", 200, 1'000, 200, milliseconds(100), 5'000, true },
    { "reported use counts", 5, 10'000, 21'000, milliseconds(50), 1'000, true },
    { "reported use and margin leave no room", 5, 10'000, 21'600, milliseconds(50), 1'000, false },
    { "last report within its lifetime", 5, 50'000, 0, milliseconds(1500), 10'000, true },
    { "reports have stopped: within the own share", 5, 10'000, 0, milliseconds(1501), 10'000, true },
    { "reports have stopped: above the own share", 5, 10'000, 0, milliseconds(1501), 10'001, false },
    { "no reports yet: within the own share", 5, 19'000, {}, {}, 1'000, true },
    { "no reports yet: above the own share", 5, 19'000, {}, {}, 1'001, false },
    { "no reports: one request larger than the share", 200, 0, {}, {}, 60'000, true },
    { "no reports: not a second one", 200, 60'000, {}, {}, 1'000, false },
    { "larger than the memory", 1, 0, {}, {}, 100'001, false },
};

} // namespace

// Guards against a sum of all entries above the memory, and against shares that apply although reports arrive.
BOOST_DATA_TEST_CASE(requests_are_admitted_up_to_the_expected_sum, data::make(admissionCases), each)
{
    MemoryPeers peers(lifetime);
    peers.setEntries(makeEntries(each.entries), home);
    RequestSizes sizes;
    sizes.record(1000);
    EngineMemory memory;
    TimePoint now = at(seconds(100));
    if (each.own > 0)
        memory.reserve(plain(each.own), at(seconds(0)));
    for (int i = 1; each.reported && i < each.entries; ++i) {
        // The use has been the same for long, so it doesn't grow.
        auto source = peers.reported(entryId(i), false, at(seconds(0)));
        memory.applyReport(*source, *each.reported, at(seconds(0)));
        peers.reported(entryId(i), false, now - each.reportAge);
    }
    BOOST_TEST(memory.admits(plain(each.size), capacity, peers, sizes, now) == each.isAdmitted);
    memory.reserve(plain(each.size), now);
    BOOST_TEST(memory.admitsReserved(plain(each.size), capacity, peers, sizes, now) == each.isAdmitted);
}

namespace {

struct SaturationCase {
    const char* name;
    int entries;
    std::int64_t memory;
    std::int64_t leastSize;
    std::int64_t largestSize;
    /// Mean share of the memory that has to be used.
    double leastUse;
};
std::ostream& operator<<(std::ostream& out, const SaturationCase& each) { return out << each.name; }

const std::vector<SaturationCase> saturationCases {
    { "one entry", 1, 100'000, 200, 2000, 0.95 },
    { "few entries", 4, 100'000, 200, 2000, 0.8 },
    { "many entries, large engine", 21, 400'000, 200, 2000, 0.8 },
    { "many entries, small engine", 21, 100'000, 200, 2000, 0.7 },
    { "many entries, long prompts", 21, 400'000, 2000, 6000, 0.7 },
    { "many entries, long prompts, small engine", 21, 100'000, 2000, 6000, 0.45 },
};

} // namespace

// Guards against a rule under which many entries can use little of an engine.
BOOST_DATA_TEST_CASE(competing_entries_fill_an_engine, data::make(saturationCases), each)
{
    struct Entry {
        MemoryPeers peers { lifetime };
        RequestSizes sizes;
        EngineMemory memory;
        std::vector<std::pair<TimePoint, MemoryNeed>> running;
    };
    std::mt19937 random(1);
    std::uniform_int_distribution<std::int64_t> size(each.leastSize, each.largestSize);
    std::vector<Entry> entries(static_cast<std::size_t>(each.entries));
    for (std::size_t i = 0; i < entries.size(); ++i) {
        LimitEntries list = makeEntries(each.entries);
        list.self = entryId(static_cast<int>(i));
        entries[i].peers.setEntries(list, home);
    }
    double use = 0;
    double largest = 0;
    constexpr int steps = 1000;
    for (int step = 0; step < steps; ++step) {
        TimePoint now = at(milliseconds(10 * step));
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            Entry& entry = entries[i];
            std::erase_if(entry.running, [&](const auto& request) {
                if (request.first <= now)
                    entry.memory.release(request.second);
                return request.first <= now;
            });
            MemoryNeed need = plain(size(random));
            if (entry.memory.admits(need, each.memory, entry.peers, entry.sizes, now)) {
                entry.sizes.record(need.own);
                entry.memory.reserve(need, now);
                auto time = milliseconds(std::uniform_int_distribution<int>(1000, 5000)(random));
                entry.running.emplace_back(now + time, need);
            }
            sum += entry.memory.own();
            if (step % 10 != static_cast<int>(i) % 10)
                continue;
            for (std::size_t peer = 0; peer < entries.size(); ++peer) {
                if (peer == i)
                    continue;
                auto source = entries[peer].peers.reported(entryId(static_cast<int>(i)), false, now);
                entries[peer].memory.applyReport(*source, entry.memory.own(), now);
            }
        }
        double share = static_cast<double>(sum) / static_cast<double>(each.memory);
        largest = std::max(largest, share);
        if (step >= steps / 2)
            use += 2 * share / steps;
    }
    BOOST_TEST_MESSAGE(each.name << ": mean use " << use << ", largest " << largest);
    BOOST_TEST(use >= each.leastUse);
    BOOST_TEST(largest <= 1);
}

// Guards against segments that count once for each request, which would make popular segments fill the engine, and
// against segments that stop counting while another request still uses them.
BOOST_AUTO_TEST_CASE(shared_segments_count_once)
{
    EngineMemory memory;
    MemoryNeed first { { { 1, 5000 }, { 2, 700 } }, 300 };
    MemoryNeed second { { { 1, 5000 }, { 3, 900 } }, 100 };
    memory.reserve(first, at(seconds(0)));
    BOOST_TEST(memory.own() == 6000);
    BOOST_TEST(memory.added(second) == 1000);
    memory.reserve(second, at(seconds(0)));
    BOOST_TEST(memory.own() == 7000);
    memory.release(first);
    BOOST_TEST(memory.own() == 6000);
    memory.release(second);
    BOOST_TEST(memory.own() == 0);
}

// Guards against the use of memory that the others fill faster than they report.
BOOST_AUTO_TEST_CASE(margin_follows_the_growth_of_reports)
{
    MemoryPeers peers(lifetime);
    peers.setEntries(makeEntries(3), home);
    RequestSizes sizes;
    sizes.record(100);
    EngineMemory memory;
    TimePoint now = at(seconds(0));
    for (int i = 0; i < 10; ++i) {
        now += milliseconds(100);
        for (int peer = 1; peer < 3; ++peer)
            memory.applyReport(*peers.reported(entryId(peer), false, now), 2000 * (i + 1), now);
    }
    EngineMemory::Others others = memory.others(capacity, peers, sizes, now);
    BOOST_TEST(others.reported == 40'000);
    // 40,000 tokens a second, during the 200 ms that a report may be old.
    BOOST_TEST(others.margin > 5'000);
    BOOST_TEST(others.margin < 25'000);
    EngineMemory::Others later = memory.others(capacity, peers, sizes, now + milliseconds(300));
    BOOST_TEST(later.margin > others.margin);
    for (int i = 0; i < 50; ++i) {
        now += milliseconds(100);
        for (int peer = 1; peer < 3; ++peer)
            memory.applyReport(*peers.reported(entryId(peer), false, now), 20'000, now);
    }
    BOOST_TEST(memory.others(capacity, peers, sizes, now).margin < 1'000);
}

// Guards against refusals by idle engines: the measured growth of a burst would exclude them for a second after its
// end, and for longer if reports are late.
BOOST_DATA_TEST_CASE(idle_engines_admit_a_request_after_a_burst,
    data::make({ 50, 90 }) * data::make({ milliseconds(10), milliseconds(90), milliseconds(500) }), percent, age)
{
    MemoryPeers peers(lifetime);
    peers.setEntries(makeEntries(2), home);
    RequestSizes sizes;
    sizes.record(10'000);
    EngineMemory memory;
    TimePoint end = at(milliseconds(900));
    for (TimePoint now = at(seconds(0)); now < end; now += milliseconds(100))
        memory.applyReport(*peers.reported(entryId(1), false, now), percent * capacity / 100, now);
    memory.applyReport(*peers.reported(entryId(1), true, end), 0, end);
    BOOST_TEST(memory.admits(plain(10'000), capacity, peers, sizes, end + age));
    // The margin still applies to several requests at once.
    memory.reserve(plain(10'000), end + age);
    BOOST_TEST(memory.others(capacity, peers, sizes, end + age).margin >= 20'000);
}

// Guards against a wait for reports that can't change the decision.
BOOST_AUTO_TEST_CASE(requests_beside_released_ones)
{
    MemoryPeers peers(lifetime);
    peers.setEntries(makeEntries(2), home);
    RequestSizes sizes;
    EngineMemory memory;
    memory.applyReport(*peers.reported(entryId(1), false, at(seconds(0))), 95'000, at(seconds(0)));
    memory.reserve(plain(20'000), at(seconds(0)));
    BOOST_TEST(!memory.admits(plain(10'000), capacity, peers, sizes, at(seconds(0))));
    BOOST_TEST(memory.admitsWhenReleased(plain(80'000), capacity, peers, sizes, at(seconds(0))));
    BOOST_TEST(!memory.admitsWhenReleased(plain(80'001), capacity, peers, sizes, at(seconds(0))));
    // An entry whose reports have stopped keeps its last use.
    BOOST_TEST(!memory.admitsWhenReleased(plain(10'000), capacity, peers, sizes, at(seconds(2))));
}

// Guards against a full use of the memory by an entry that doesn't know the others yet.
BOOST_AUTO_TEST_CASE(unknown_entries_are_assumed)
{
    MemoryPeers peers(lifetime);
    RequestSizes sizes;
    EngineMemory memory;
    BOOST_TEST(memory.admits(plain(12'500), capacity, peers, sizes, at(seconds(0))));
    memory.reserve(plain(12'500), at(seconds(0)));
    BOOST_TEST(!memory.admits(plain(1), capacity, peers, sizes, at(seconds(0))));
    LimitEntries alone = makeEntries(1);
    alone.active = false;
    peers.setEntries(alone, home);
    BOOST_TEST(!memory.admits(plain(1), capacity, peers, sizes, at(seconds(0))));
    alone.active = true;
    peers.setEntries(alone, home);
    BOOST_TEST(memory.admits(plain(80'000), capacity, peers, sizes, at(seconds(0))));
}

// Guards against entries of another region that count as idle although only their observer reports their use.
BOOST_AUTO_TEST_CASE(entries_of_other_regions_are_covered_by_their_region)
{
    LimitEntries entries = makeEntries(2);
    entries.regions[entryId(2)] = entries.regions[entryId(3)] = RegionId("far");
    entries.regions[entryId(4)] = RegionId("single");
    MemoryPeers peers(lifetime);
    peers.setEntries(entries, home);
    RequestSizes sizes;
    EngineMemory memory;
    TimePoint now = at(seconds(0));
    auto silent = [&] { return memory.others(capacity, peers, sizes, now).silent; };
    BOOST_TEST(silent() == 80'000);
    BOOST_TEST(!peers.reported(entryId(2), true, now));
    BOOST_TEST(silent() == 80'000);
    BOOST_TEST(peers.reported(regionSource(RegionId("far")), false, now).has_value());
    BOOST_TEST(silent() == 40'000);
    BOOST_TEST(peers.reported(entryId(4), true, now).has_value());
    BOOST_TEST(silent() == 20'000);
    BOOST_TEST(peers.reported(entryId(1), true, now).has_value());
    BOOST_TEST(silent() == 0);
}

// Guards against the memory of an entry that is cut off being given to others while its requests still run.
BOOST_AUTO_TEST_CASE(silent_entries_keep_their_last_use)
{
    MemoryPeers peers(lifetime);
    peers.setEntries(makeEntries(3), home);
    RequestSizes sizes;
    EngineMemory memory;
    for (int peer = 1; peer < 3; ++peer)
        memory.applyReport(*peers.reported(entryId(peer), false, at(seconds(0))), peer * 25'000, at(seconds(0)));
    EngineMemory::Others others = memory.others(capacity, peers, sizes, at(seconds(2)));
    BOOST_TEST(others.reported == 0);
    // An equal share of a third, and 50,000.
    BOOST_TEST(others.silent == 83'333);
    LimitEntries one = makeEntries(1);
    peers.setEntries(one, home);
    BOOST_TEST(memory.others(capacity, peers, sizes, at(seconds(2))).silent == 0);
}

// Guards against a list of sources that grows with each entry that was ever started.
BOOST_AUTO_TEST_CASE(numbers_of_unlisted_sources_are_used_again)
{
    MemoryPeers peers(lifetime);
    peers.setEntries(makeEntries(2), home);
    for (int i = 0; i < 100; ++i)
        peers.reported(entryId(100 + i), false, at(seconds(100 * i)));
    BOOST_TEST(peers.sources().size() <= 3U);
}
