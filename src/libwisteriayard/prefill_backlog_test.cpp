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
    std::int64_t min;
    std::int64_t max;
};
std::ostream& operator<<(std::ostream& out, const AheadCase& each) { return out << each.name; }

const AheadCase aheadCases[] = {
    { "idle", {}, 0, 0, 0 },
    { "same_rank_waits_for_all", { { 5, 30'000 } }, 5, 30'000, 30'000 },
    { "lower_rank_waits_for_all", { { 1, 20'000 }, { 5, 10'000 } }, 7, 30'000, 30'000 },
    { "higher_rank_waits_for_the_started_prompt_only", { { 5, 60'000 } }, 4, 1, 15'000 },
    { "higher_rank_waits_for_its_own_rank", { { 4, 8'000 }, { 5, 60'000 } }, 4, 8'001, 23'000 },
    { "short_lower_prompt_counts_whole", { { 5, 600 } }, 1, 600, 600 },
    { "rank_beyond_the_last", { { 30, 500 } }, 12, 500, 500 },
};

} // namespace

// Guards against refusing urgent requests because of prompts that the engine computes after theirs.
BOOST_DATA_TEST_CASE(tokens_ahead_follow_the_rank, data::make(aheadCases), each)
{
    PrefillBacklog backlog;
    for (const auto& [rank, tokens] : each.waiting)
        backlog.add(Priority(rank), Tokens(tokens));
    BOOST_TEST(backlog.tokensAhead(Priority(each.rank)).value() >= each.min);
    BOOST_TEST(backlog.tokensAhead(Priority(each.rank)).value() <= each.max);
}

// Guards against a backlog that still counts the tokens of requests that have ended.
BOOST_AUTO_TEST_CASE(removed_tokens_are_subtracted)
{
    PrefillBacklog backlog(Priority(3), Tokens(700));
    backlog += PrefillBacklog(Priority(8), Tokens(50));
    backlog.remove(Priority(3), Tokens(700));
    BOOST_TEST((backlog == PrefillBacklog(Priority(8), Tokens(50))));
    BOOST_TEST(backlog.total().value() == 50);
}
