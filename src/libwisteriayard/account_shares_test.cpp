#define BOOST_TEST_MODULE account_shares
#include "wisteriayard/account_shares.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

/// Requests of one account with 50 ms of engine time each.
struct Load {
    int placed = 0;
    int refused = 0;
    bool above = false;
};

struct ShareCase {
    const char* name;
    std::vector<Load> accounts;
    bool isOverload;
    /// Time from the requests to the question.
    Duration after;
};
std::ostream& operator<<(std::ostream& out, const ShareCase& each) { return out << each.name; }

const ShareCase shareCases[] = {
    { "nothing refused", { { 40, 0, false }, { 4, 0, false } }, true, seconds(0) },
    { "one account alone", { { 40, 40, false } }, true, seconds(0) },
    { "equal accounts", { { 20, 10, false }, { 20, 10, false }, { 18, 12, false } }, true, seconds(0) },
    { "one large account",
        { { 120, 20, true }, { 2, 28, false }, { 2, 28, false }, { 2, 28, false }, { 2, 28, false }, { 2, 28, false },
            { 2, 28, false }, { 2, 28, false }, { 2, 28, false } },
        true, seconds(0) },
    { "twice the share", { { 40, 20, false }, { 6, 40, false }, { 6, 40, false } }, true, seconds(0) },
    { "unused shares are given to the large one", { { 40, 20, false }, { 4, 0, false }, { 4, 0, false } }, true,
        seconds(0) },
    { "refused because of its share only", { { 40, 20, false }, { 6, 4, false } }, false, seconds(0) },
    { "too few requests to tell", { { 3, 0, false }, { 1, 2, false }, { 1, 2, false } }, true, seconds(0) },
    { "refusals have ended", { { 40, 20, false }, { 6, 4, false } }, true, seconds(1) },
};

} // namespace

// Guards against small accounts that are refused earlier, against a large one that takes the shares of others, and
// against shares that stay unused.
BOOST_DATA_TEST_CASE(accounts_above_their_share, data::make(shareCases), each)
{
    AccountShares shares;
    for (std::size_t i = 0; i < each.accounts.size(); ++i) {
        AccountId account("a" + std::to_string(i));
        for (int n = 0; n < each.accounts[i].placed; ++n)
            shares.recordPlaced(account, milliseconds(50), at(milliseconds(0)));
        for (int n = 0; n < each.accounts[i].refused; ++n)
            shares.recordRefused(account, milliseconds(50), each.isOverload, at(milliseconds(0)));
    }
    for (std::size_t i = 0; i < each.accounts.size(); ++i) {
        AccountId account("a" + std::to_string(i));
        BOOST_TEST(shares.isAboveShare(account, at(each.after)) == each.accounts[i].above, account.value());
    }
    BOOST_TEST(!shares.isAboveShare(AccountId("unknown"), at(each.after)));
}

// Guards against use that counts for longer than the window.
BOOST_AUTO_TEST_CASE(use_is_forgotten_after_the_window)
{
    AccountShares shares;
    for (int i = 0; i < 400; ++i)
        shares.recordPlaced(AccountId("large"), milliseconds(50), at(milliseconds(0)));
    for (Duration time : { Duration(milliseconds(100)), AccountShares::window + milliseconds(500) }) {
        for (int i = 0; i < 60; ++i)
            shares.recordPlaced(AccountId("small" + std::to_string(i % 10)), milliseconds(50), at(time));
        for (int i = 0; i < 10; ++i)
            shares.recordRefused(AccountId("small" + std::to_string(i)), seconds(5), true, at(time));
        BOOST_TEST(shares.isAboveShare(AccountId("large"), at(time)) == (time < AccountShares::window));
    }
}

// Guards against memory that grows with the number of accounts.
BOOST_AUTO_TEST_CASE(accounts_are_bounded)
{
    AccountShares shares;
    for (int i = 0; i < 1000; ++i)
        shares.recordPlaced(AccountId("a" + std::to_string(i)), milliseconds(50), at(milliseconds(i)));
    BOOST_TEST(shares.size() == AccountShares::maxAccounts);
}
