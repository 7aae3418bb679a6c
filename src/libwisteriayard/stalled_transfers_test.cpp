#define BOOST_TEST_MODULE stalled_transfers
#include "wisteriayard/stalled_transfers.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

constexpr Duration second = std::chrono::seconds(1);
constexpr Duration millisecond = std::chrono::milliseconds(1);

struct Progress {
    std::size_t transfer;
    Duration at;
    Bytes held;
};

struct OrderCase {
    const char* name;
    std::vector<Progress> progress;
    Duration now;
    /// Transfers that are ended, in their order, if each has at least a second without progress.
    std::vector<std::size_t> ended;
};
std::ostream& operator<<(std::ostream& out, const OrderCase& each) { return out << each.name; }

const OrderCase orderCases[] = {
    { "none", {}, 9 * second, {} },
    { "longest without progress first", { { 0, second, Bytes(1) }, { 1, 2 * second, Bytes(9) } }, 9 * second,
        { 0, 1 } },
    { "later progress counts", { { 0, second, Bytes(1) }, { 1, 2 * second, Bytes(1) }, { 0, 3 * second, Bytes(1) } },
        9 * second, { 1, 0 } },
    { "not before a second", { { 0, second, Bytes(1) }, { 1, 2 * second, Bytes(9) } }, 2999 * millisecond, { 0 } },
    { "at a second", { { 0, second, Bytes(1) }, { 1, 2 * second, Bytes(9) } }, 3 * second, { 0, 1 } },
    { "most memory among equal ones",
        { { 0, second, Bytes(1) }, { 1, second + 99 * millisecond, Bytes(9) },
            { 2, second + 100 * millisecond, Bytes(20) } },
        9 * second, { 1, 0, 2 } },
    { "an equal one that is not stalled for long enough is spared",
        { { 0, second, Bytes(1) }, { 1, second + 50 * millisecond, Bytes(9) } }, 2 * second, { 0 } },
};

/// Transfers that record which of them are ended, in their order.
struct Fixture {
    Fixture()
    {
        for (std::size_t number = 0; number < 3; ++number)
            entries.push_back(
                std::make_unique<StalledTransfers::Entry>(transfers, [this, number] { ended.push_back(number); }));
    }

    StalledTransfers transfers;
    std::vector<std::size_t> ended;
    std::vector<std::unique_ptr<StalledTransfers::Entry>> entries;
};

} // namespace

// Guards against ending a transfer that makes progress, or holds little, before stalled and larger ones.
BOOST_DATA_TEST_CASE(transfers_are_ended_in_order, data::make(orderCases), each)
{
    Fixture fixture;
    for (const Progress& step : each.progress)
        fixture.entries[step.transfer]->progressed(step.held, TimePoint(step.at));
    while (fixture.transfers.endLongestStalled(second, TimePoint(each.now))) { }
    BOOST_TEST(fixture.ended == each.ended, boost::test_tools::per_element());
}

// Guards against an upload in progress whose memory goes to later ones, and against memory kept for stalled ones.
BOOST_AUTO_TEST_CASE(later_transfers_leave_memory_to_earlier_ones)
{
    Fixture fixture;
    auto expectedBefore = [&](std::size_t transfer, Duration now) {
        return fixture.transfers.expectedBefore(*fixture.entries[transfer], second, TimePoint(now)).value();
    };
    fixture.entries[0]->progressed(Bytes(1), TimePoint(second), Bytes(10));
    fixture.entries[1]->progressed(Bytes(1), TimePoint(second), Bytes(20));
    BOOST_TEST(expectedBefore(0, second) == 0);
    BOOST_TEST(expectedBefore(1, second) == 10);
    BOOST_TEST(expectedBefore(2, second) == 30);
    // Progress changes the order of stalled transfers, not that of their begin.
    fixture.entries[0]->progressed(Bytes(1), TimePoint(2 * second), Bytes(10));
    BOOST_TEST(expectedBefore(0, 2 * second) == 0);
    BOOST_TEST(expectedBefore(2, 2 * second) == 10);
    BOOST_TEST(expectedBefore(2, 3 * second) == 0);
}

// Guards against the use of transfers that have ended.
BOOST_AUTO_TEST_CASE(removed_transfers_are_forgotten)
{
    Fixture fixture;
    for (const auto& entry : fixture.entries)
        entry->progressed(Bytes(1), TimePoint(second));
    fixture.entries[0].reset();
    fixture.entries[1]->remove();
    BOOST_TEST(fixture.transfers.size() == 1u);
    while (fixture.transfers.endLongestStalled(second, TimePoint(9 * second))) { }
    BOOST_TEST(fixture.ended == (std::vector<std::size_t> { 2 }), boost::test_tools::per_element());
    BOOST_TEST(fixture.transfers.size() == 0u);
}

// Guards against a transfer that destroys itself when it is ended.
BOOST_AUTO_TEST_CASE(transfer_may_be_destroyed_by_its_end)
{
    StalledTransfers transfers;
    std::unique_ptr<StalledTransfers::Entry> entry;
    entry = std::make_unique<StalledTransfers::Entry>(transfers, [&entry] { entry.reset(); });
    entry->progressed(Bytes(1), TimePoint(second));
    BOOST_TEST(transfers.endLongestStalled(second, TimePoint(9 * second)));
    BOOST_TEST(!entry);
    BOOST_TEST(transfers.size() == 0u);
}
