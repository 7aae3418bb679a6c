#define BOOST_TEST_MODULE prefill_backlog
#include "wisteriayard/prefill_backlog.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

struct AheadCase {
    const char* name;
    std::vector<std::pair<int, std::int64_t>> waiting;
    int rank;
    std::int64_t least;
    std::int64_t most;
};
std::ostream& operator<<(std::ostream& out, const AheadCase& each) { return out << each.name; }

const AheadCase aheadCases[] = {
    { "idle", {}, 0, 0, 0 },
    { "same_rank_waits_for_all", { { 5, 30'000 } }, 5, 30'000, 30'000 },
    { "lower_rank_waits_for_all", { { 1, 20'000 }, { 5, 10'000 } }, 7, 30'000, 30'000 },
    { "higher_rank_waits_for_the_begun_prompt_only", { { 5, 60'000 } }, 4, 1, 15'000 },
    { "higher_rank_waits_for_its_own", { { 4, 8'000 }, { 5, 60'000 } }, 4, 8'001, 23'000 },
    { "short_lower_prompt_counts_whole", { { 5, 600 } }, 1, 600, 600 },
    { "rank_beyond_the_last", { { 30, 500 } }, 12, 500, 500 },
};

} // namespace

// Guards against urgent requests that are refused for prompts which the engine computes after theirs.
BOOST_DATA_TEST_CASE(tokens_ahead_follow_the_rank, data::make(aheadCases), each)
{
    PrefillBacklog backlog;
    for (const auto& [rank, tokens] : each.waiting)
        backlog.add(Priority(rank), Tokens(tokens));
    BOOST_TEST(backlog.ahead(Priority(each.rank)).value() >= each.least);
    BOOST_TEST(backlog.ahead(Priority(each.rank)).value() <= each.most);
}

// Guards against a backlog that keeps tokens of requests which have left.
BOOST_AUTO_TEST_CASE(what_leaves_is_taken_off)
{
    PrefillBacklog backlog(Priority(3), Tokens(700));
    backlog += PrefillBacklog(Priority(8), Tokens(50));
    backlog.remove(Priority(3), Tokens(700));
    BOOST_TEST((backlog == PrefillBacklog(Priority(8), Tokens(50))));
    BOOST_TEST(backlog.total().value() == 50);
}
