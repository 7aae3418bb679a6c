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

// Guards against a late or repeated update that reverts an accepted contract (G13).
BOOST_AUTO_TEST_CASE(older_revision_never_replaces_newer)
{
    ConfigView view;
    BOOST_REQUIRE(view.apply("contract/a", contractText(2), Revision(7)));
    BOOST_REQUIRE(view.apply("contract/a", contractText(1), Revision(5)));
    BOOST_REQUIRE(view.apply("contract/a", contractText(1), Revision(7)));
    BOOST_TEST(view.contract(AccountId("a"))->weight == 2.0);
    BOOST_TEST(view.contractRevision(AccountId("a")).value() == 7);
}

// Guards against an invalid document in the store that ends service to an account.
BOOST_AUTO_TEST_CASE(bad_contract_keeps_former)
{
    ConfigView view;
    BOOST_REQUIRE(view.apply("contract/a", contractText(2), Revision(7)));
    BOOST_TEST(!view.apply("contract/a", "{}", Revision(8)));
    BOOST_TEST(view.contract(AccountId("a"))->weight == 2.0);
}

// Guards against an older update that makes a withdrawn key valid again (G5).
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

// Guards against a view that counts as fresh because of a delayed message (G5).
BOOST_AUTO_TEST_CASE(fresh_as_of_the_question)
{
    using std::chrono::seconds;
    const TimePoint start { seconds(100) };
    ConfigView view;
    view.confirmCompleteTo(Revision(5), start);
    view.markCompleteTo(Revision(6));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(3)), "a delivery alone does not show when it was sent");
    view.recordSourceRevision(Revision(8), start + seconds(1));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(3)), "the view lacks revisions 7 and 8");
    view.recordSourceRevision(Revision(9), start + seconds(2));
    view.markCompleteTo(Revision(8));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(2)), "fresh as of the first request");
    view.recordSourceRevision(Revision(8), start + seconds(3));
    BOOST_TEST((view.age(start + seconds(3)) == seconds(0)), "already complete when the response arrived");
}
