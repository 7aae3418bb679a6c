#define BOOST_TEST_MODULE entry_share
#include "wisteriayard/entry_share.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

InstanceId entryId(int number) { return InstanceId("entry-" + std::to_string(number)); }

/// A list of entries, the even ones in region "r" and the odd ones in region "s".
LimitEntries makeEntries(int count, int self)
{
    LimitEntries entries;
    entries.self = entryId(self);
    entries.active = true;
    for (int i = 0; i < count; ++i)
        entries.regions[entryId(i)] = RegionId(i % 2 == 0 ? "r" : "s");
    return entries;
}

struct DivisionCase {
    const char* name;
    int entries;
    const char* region;
    double rate;
    std::size_t maxHolders;
    /// Number of entries that hold a share.
    int holders;
};
std::ostream& operator<<(std::ostream& out, const DivisionCase& each) { return out << each.name; }

const DivisionCase divisionCases[] = {
    { "one entry", 1, "r", 2.2, 2, 1 },
    { "fewer holders than entries", 20, "r", 2.2, 2, 2 },
    { "more holders than entries of the region", 6, "r", 16, 12, 3 },
    { "a share below one request per second", 20, "s", 0.5, 1, 1 },
    { "a region without entries", 6, "t", 4, 4, 4 },
};

} // namespace

// Guards against shares that add up to more than the rate, or leave a part of it unused.
BOOST_DATA_TEST_CASE(shares_add_up_to_the_rate, data::make(divisionCases), each)
{
    double sum = 0;
    int holders = 0;
    for (int self = 0; self < each.entries; ++self) {
        EntryShare share;
        share.update(
            EndpointId("e"), RegionId(each.region), makeEntries(each.entries, self),
            { RequestRate(each.rate), each.maxHolders, true }, [](double rate) { return rate; }, start);
        sum += share.rate().value();
        holders += share.rate().value() > 0 ? 1 : 0;
        BOOST_TEST(share.holders() == static_cast<std::size_t>(each.holders));
    }
    // Rates have single precision.
    BOOST_TEST(sum == each.rate, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(holders == each.holders);
}

// Guards against a share that is used before the others count this entry, and against credit that outlives the share.
BOOST_AUTO_TEST_CASE(credit_ends_with_the_share)
{
    EntryShare share;
    EntryShare::Terms terms { RequestRate(4), 4, false };
    auto update = [&](TimePoint now) {
        share.update(
            EndpointId("e"), RegionId("r"), makeEntries(1, 0), terms, [](double rate) { return rate; }, now);
    };
    update(start);
    BOOST_TEST(!share.tryTake(start + std::chrono::seconds(10)));
    terms.active = true;
    update(start + std::chrono::seconds(10));
    BOOST_TEST(!share.tryTake(start + std::chrono::seconds(10)));
    BOOST_TEST(share.tryTake(start + std::chrono::seconds(11)));
    terms.active = false;
    update(start + std::chrono::seconds(11));
    BOOST_TEST(!share.tryTake(start + std::chrono::seconds(20)));
}

// Guards against one entry that holds the shares of all endpoints.
BOOST_AUTO_TEST_CASE(endpoints_have_different_holders)
{
    std::set<InstanceId> holders;
    for (int i = 0; i < 40; ++i)
        holders.insert(shareHolders("endpoint-" + std::to_string(i), RegionId("r"), makeEntries(10, 0), 1).at(0));
    BOOST_TEST(holders.size() == 5u);
}
