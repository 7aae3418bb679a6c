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

namespace {

struct PartCase {
    const char* name;
    Bytes outerReserved;
    Bytes size;
    bool granted;
};
std::ostream& operator<<(std::ostream& out, const PartCase& each) { return out << each.name; }

const PartCase partCases[] = {
    { "whole part", Bytes(0), Bytes(30), true },
    { "more than the part", Bytes(0), Bytes(31), false },
    { "rest of the outer budget without its spare part", Bytes(80), Bytes(10), true },
    { "into the spare part of the outer budget", Bytes(80), Bytes(11), false },
    { "outer budget is used up", Bytes(100), Bytes(1), false },
};

} // namespace

// Guards against a sum of both kinds above the limit of the outer budget, and against a refusal that counts in one.
BOOST_DATA_TEST_CASE(reservations_of_a_part_count_in_both, data::make(partCases), each)
{
    ByteBudget outer(limit);
    ByteBudget part(Bytes(30), outer, Bytes(10));
    ByteReservation others(outer);
    BOOST_REQUIRE(others.extendTo(each.outerReserved));
    {
        ByteReservation reservation(part);
        BOOST_TEST(reservation.extendTo(each.size) == each.granted);
        Bytes reserved = each.granted ? each.size : Bytes(0);
        BOOST_TEST(part.reserved().value() == reserved.value());
        BOOST_TEST((outer.reserved() - others.size()).value() == reserved.value());
        reservation.shrinkTo(Bytes(1));
        BOOST_TEST((outer.reserved() - others.size()).value() == part.reserved().value());
    }
    BOOST_TEST(part.reserved().value() == 0);
    BOOST_TEST(outer.reserved().value() == others.size().value());
}
