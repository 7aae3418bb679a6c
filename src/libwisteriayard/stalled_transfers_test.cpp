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

    /// Ends all stalled transfers that hold memory, one after the other.
    void endAll(Duration now)
    {
        ByteBudget budget(Bytes(1));
        ByteReservation others(budget);
        BOOST_REQUIRE(others.extendTo(Bytes(1)));
        StalledTransfers::Entry requester(transfers, [] {});
        ByteReservation reservation(budget);
        // The end of these transfers releases nothing, so that one after the other is ended.
        BOOST_TEST(!transfers.extend(reservation, { Bytes(1) }, requester, second, TimePoint(now)));
    }

    StalledTransfers transfers;
    std::vector<std::size_t> ended;
    std::vector<std::unique_ptr<StalledTransfers::Entry>> entries;
};

struct Transfer {
    Duration progressAt;
    Bytes held;
};

/// Transfer 0 asks at 9 s for memory of a budget of 100 bytes.
struct ExtensionCase {
    const char* name;
    std::vector<Transfer> transfers;
    TransferNeed need;
    bool granted;
    std::vector<std::size_t> ended;
};
std::ostream& operator<<(std::ostream& out, const ExtensionCase& each) { return out << each.name; }

constexpr Duration old = second;
constexpr Duration recent = 8500 * millisecond;

const ExtensionCase extensionCases[] = {
    { "room for all", { { recent, Bytes(0) }, { old, Bytes(40) } }, { Bytes(30), Bytes(10), Bytes(20) }, true, {} },
    { "a stalled one suffices", { { recent, Bytes(0) }, { old, Bytes(40) }, { 2 * old, Bytes(60) } }, { Bytes(40) },
        true, { 1 } },
    { "several are needed", { { recent, Bytes(0) }, { old, Bytes(40) }, { 2 * old, Bytes(60) } }, { Bytes(41) }, true,
        { 1, 2 } },
    { "stalled ones do not suffice", { { recent, Bytes(0) }, { old, Bytes(40) }, { recent, Bytes(60) } }, { Bytes(41) },
        false, {} },
    { "stalled ones do not suffice for the spare part",
        { { recent, Bytes(0) }, { old, Bytes(40) }, { recent, Bytes(60) } }, { Bytes(40), Bytes(1) }, false, {} },
    { "only expected memory is missing", { { recent, Bytes(0) }, { old, Bytes(40) }, { recent, Bytes(20) } },
        { Bytes(30), Bytes(10), Bytes(1) }, false, {} },
    { "stalled ones do not suffice for expected memory",
        { { recent, Bytes(0) }, { old, Bytes(40) }, { recent, Bytes(60) } }, { Bytes(30), Bytes(0), Bytes(11) }, false,
        {} },
    { "one that holds nothing is not ended", { { recent, Bytes(0) }, { old, Bytes(0) }, { 2 * old, Bytes(100) } },
        { Bytes(1) }, true, { 2 } },
    { "the requester is not ended", { { old, Bytes(10) }, { 2 * old, Bytes(90) } }, { Bytes(11) }, true, { 1 } },
    { "the requester's own memory does not count", { { old, Bytes(60) }, { 2 * old, Bytes(40) } }, { Bytes(101) },
        false, {} },
};

} // namespace

// Guards against ending a transfer that makes progress, or holds little, before stalled and larger ones.
BOOST_DATA_TEST_CASE(transfers_are_ended_in_order, data::make(orderCases), each)
{
    Fixture fixture;
    for (const Progress& step : each.progress)
        fixture.entries[step.transfer]->progressed(step.held, TimePoint(step.at));
    fixture.endAll(each.now);
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
    fixture.endAll(9 * second);
    BOOST_TEST(fixture.ended == (std::vector<std::size_t> { 2 }), boost::test_tools::per_element());
    BOOST_TEST(fixture.transfers.size() == 0u);
}

// Guards against the end of transfers that does not help the one that asks: they don't suffice, hold nothing, or only
// memory that nobody holds is missing.
BOOST_DATA_TEST_CASE(transfers_are_ended_only_if_that_suffices, data::make(extensionCases), each)
{
    ByteBudget budget(Bytes(100));
    StalledTransfers transfers;
    std::vector<std::size_t> ended;
    std::vector<std::unique_ptr<ByteReservation>> reservations;
    std::vector<std::unique_ptr<StalledTransfers::Entry>> entries;
    for (std::size_t number = 0; number < each.transfers.size(); ++number) {
        const Transfer& transfer = each.transfers[number];
        reservations.push_back(std::make_unique<ByteReservation>(budget));
        BOOST_REQUIRE(reservations.back()->extendTo(transfer.held));
        entries.push_back(std::make_unique<StalledTransfers::Entry>(transfers, [&, number] {
            ended.push_back(number);
            reservations[number]->shrinkTo(Bytes(0));
        }));
    }
    for (Duration at : { old, 2 * old, recent }) {
        for (std::size_t number = 0; number < entries.size(); ++number) {
            if (each.transfers[number].progressAt == at)
                entries[number]->progressed(each.transfers[number].held, TimePoint(at));
        }
    }
    bool granted = transfers.extend(*reservations[0], each.need, *entries[0], second, TimePoint(9 * second));
    BOOST_TEST(granted == each.granted);
    BOOST_TEST(ended == each.ended, boost::test_tools::per_element());
}

// Guards against a transfer that destroys itself when it is ended.
BOOST_AUTO_TEST_CASE(transfer_may_be_destroyed_by_its_end)
{
    StalledTransfers transfers;
    std::unique_ptr<StalledTransfers::Entry> entry;
    entry = std::make_unique<StalledTransfers::Entry>(transfers, [&entry] { entry.reset(); });
    entry->progressed(Bytes(1), TimePoint(second));
    ByteBudget budget(Bytes(1));
    ByteReservation others(budget);
    BOOST_REQUIRE(others.extendTo(Bytes(1)));
    ByteReservation reservation(budget);
    StalledTransfers::Entry requester(transfers, [] {});
    BOOST_TEST(!transfers.extend(reservation, { Bytes(1) }, requester, second, TimePoint(9 * second)));
    BOOST_TEST(!entry);
    BOOST_TEST(transfers.size() == 0u);
}
