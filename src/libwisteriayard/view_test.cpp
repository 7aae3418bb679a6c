#define BOOST_TEST_MODULE view
#include "wisteriayard/view.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

namespace {

std::string contractText(double weight)
{
    return R"({"account":"a","weight":)" + std::to_string(weight)
        + R"(,"classes":[{"name":"c","tier":"bulk","match":{"target":"m"},"targets":{"attainment":0.9},)"
        + R"("longest_wait_ms":1000}]})";
}

} // namespace

// Guards against a late or repeated update that takes an accepted contract back (G13).
BOOST_AUTO_TEST_CASE(older_revision_never_replaces_newer)
{
    ConfigView view;
    BOOST_REQUIRE(view.apply("contract/a", contractText(2), Revision(7)));
    BOOST_REQUIRE(view.apply("contract/a", contractText(1), Revision(5)));
    BOOST_REQUIRE(view.apply("contract/a", contractText(1), Revision(7)));
    BOOST_TEST(view.contract(AccountId("a"))->weight == 2.0);
    BOOST_TEST(view.contractRevision(AccountId("a")).value() == 7);
}

// Guards against a bad document in the store that ends an account's service.
BOOST_AUTO_TEST_CASE(bad_contract_keeps_former)
{
    ConfigView view;
    BOOST_REQUIRE(view.apply("contract/a", contractText(2), Revision(7)));
    BOOST_TEST(!view.apply("contract/a", "{}", Revision(8)));
    BOOST_TEST(view.contract(AccountId("a"))->weight == 2.0);
}

// Guards against a withdrawn key that comes back through an older update (G5).
BOOST_AUTO_TEST_CASE(withdrawn_key_stays_withdrawn)
{
    ConfigView view;
    KeyHash hash("00ff");
    BOOST_REQUIRE(view.apply("key/00ff", R"({"account":"a"})", Revision(1)));
    BOOST_TEST(!view.key(hash)->withdrawn);
    auto change = view.apply("key/00ff", R"({"account":"a","withdrawn":true})", Revision(3));
    BOOST_REQUIRE(change);
    BOOST_TEST(std::holds_alternative<KeyWithdrawn>(change.value()));
    BOOST_REQUIRE(view.apply("key/00ff", R"({"account":"a"})", Revision(2)));
    BOOST_TEST(view.key(hash)->withdrawn);
}

// Guards against a view that counts as fresh because of a message that was on its way for long (G5).
BOOST_AUTO_TEST_CASE(fresh_as_of_the_question)
{
    using std::chrono::seconds;
    const TimePoint start { seconds(100) };
    ConfigView view;
    view.confirmed(Revision(5), start);
    view.completed(Revision(6));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(3)), "a delivery alone says nothing of when it was sent");
    view.stated(Revision(8), start + seconds(1));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(3)), "the view lacks revisions 7 and 8");
    view.stated(Revision(9), start + seconds(2));
    view.completed(Revision(8));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(2)), "fresh as of the first question");
    view.stated(Revision(8), start + seconds(3));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(0)), "complete already when the answer came");
}
