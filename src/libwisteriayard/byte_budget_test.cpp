#define BOOST_TEST_MODULE byte_budget
#include "wisteriayard/byte_budget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <ostream>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

constexpr Bytes limit { 100 };

struct ExtensionCase {
    const char* name;
    Bytes reservedByOthers;
    Bytes before;
    Bytes size;
    Bytes spare;
    bool granted;
};
std::ostream& operator<<(std::ostream& out, const ExtensionCase& each) { return out << each.name; }

const ExtensionCase extensionCases[] = {
    { "whole budget", Bytes(0), Bytes(0), Bytes(100), Bytes(0), true },
    { "more than the budget", Bytes(0), Bytes(0), Bytes(101), Bytes(0), false },
    { "size that overflows a sum", Bytes(1), Bytes(0), Bytes(std::numeric_limits<std::int64_t>::max()), Bytes(0),
        false },
    { "rest of the budget", Bytes(60), Bytes(10), Bytes(40), Bytes(0), true },
    { "more than the rest", Bytes(60), Bytes(10), Bytes(41), Bytes(0), false },
    { "rest without the spare part", Bytes(60), Bytes(0), Bytes(30), Bytes(10), true },
    { "into the spare part", Bytes(60), Bytes(0), Bytes(31), Bytes(10), false },
    { "nothing while others use the spare part", Bytes(95), Bytes(0), Bytes(0), Bytes(10), true },
    { "no extension while others use the spare part", Bytes(95), Bytes(5), Bytes(3), Bytes(10), true },
};

} // namespace

// Guards against reservations that together exceed the budget.
BOOST_DATA_TEST_CASE(extension_is_granted_within_the_budget, data::make(extensionCases), each)
{
    ByteBudget budget(limit);
    ByteReservation others(budget);
    BOOST_REQUIRE(others.extendTo(each.reservedByOthers));
    ByteReservation reservation(budget);
    BOOST_REQUIRE(reservation.extendTo(each.before));
    BOOST_TEST(reservation.extendTo(each.size, each.spare) == each.granted);
    Bytes expected = each.granted ? std::max(each.before, each.size) : each.before;
    BOOST_TEST(reservation.size().value() == expected.value());
    BOOST_TEST(budget.reserved().value() == (each.reservedByOthers + expected).value());
}

// Guards against a budget that shrinks with each request.
BOOST_AUTO_TEST_CASE(reservation_is_returned_once)
{
    ByteBudget budget(limit);
    {
        ByteReservation reservation(budget);
        BOOST_TEST(reservation.extendTo(Bytes(40)));
        BOOST_TEST(reservation.extendTo(Bytes(70)));
        BOOST_TEST(!reservation.extendTo(Bytes(101)));
        BOOST_TEST(budget.reserved().value() == 70);
    }
    BOOST_TEST(budget.reserved().value() == 0);
}

// Guards against memory that stays reserved after it was released, and against a release of more than was reserved.
BOOST_AUTO_TEST_CASE(reservation_can_shrink)
{
    ByteBudget budget(limit);
    ByteReservation reservation(budget);
    BOOST_REQUIRE(reservation.extendTo(Bytes(60)));
    reservation.shrinkTo(Bytes(80));
    BOOST_TEST(budget.reserved().value() == 60);
    reservation.shrinkTo(Bytes(20));
    BOOST_TEST(reservation.size().value() == 20);
    BOOST_TEST(budget.reserved().value() == 20);
}
