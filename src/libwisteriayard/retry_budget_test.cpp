#define BOOST_TEST_MODULE retry_budget
#include "wisteriayard/retry_budget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct SharedBudgetCase {
    const char* name;
    std::size_t entries;
    /// Whether the entries know how many there are, or have just started.
    bool known;
    int requestsPerEntry;
    int mostRetries;
    int leastRetries;
};
std::ostream& operator<<(std::ostream& out, const SharedBudgetCase& each) { return out << each.name; }

constexpr RetryPolicy total { 0.2, 50 };

const SharedBudgetCase sharedBudgetCases[] = {
    { "one entry", 1, true, 10, 50, 50 },
    { "few entries", 5, true, 10, 50, 50 },
    { "many entries", 100, true, 0, 50, 0 },
    { "many entries under load", 100, true, 50, 1050, 1000 },
    { "started together, no requests", 6, false, 0, 0, 0 },
    { "started together, under load", 6, false, 100, 120, 120 },
};

} // namespace

// Guards against entries that each use the whole budget of retries, after a start of all of them in particular.
BOOST_DATA_TEST_CASE(retries_of_all_entries_stay_within_the_budget, data::make(sharedBudgetCases), each)
{
    int retries = 0;
    for (std::size_t entry = 0; entry < each.entries; ++entry) {
        RetryBudget budget(sharedRetryPolicy(total, each.known ? each.entries : 0));
        TimePoint now(seconds(100));
        for (int i = 0; i < each.requestsPerEntry; ++i)
            budget.recordRequest(now);
        while (budget.tryAcquireRetry(now))
            ++retries;
    }
    BOOST_TEST(retries <= each.mostRetries);
    BOOST_TEST(retries >= each.leastRetries);
}
