#define BOOST_TEST_MODULE store_follower
#include "store_follower.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

struct LostCase {
    const char* name;
    std::set<std::string> keys;
    /// Keys of the new read with the revisions of their last changes.
    std::vector<std::pair<const char*, std::int64_t>> range;
    /// Keys that are relayed; removed ones start with `-`.
    std::set<std::string> relayed;
};
std::ostream& operator<<(std::ostream& out, const LostCase& each) { return out << each.name; }

// The copy is complete up to revision 10; the new read has revision 30.
const LostCase lostCases[] = {
    { "nothing_changed", { "a", "b" }, { { "a", 3 }, { "b", 10 } }, {} },
    { "changed", { "a", "b" }, { { "a", 3 }, { "b", 11 } }, { "b" } },
    { "added", { "a" }, { { "a", 3 }, { "c", 25 } }, { "c" } },
    { "removed", { "a", "b" }, { { "a", 3 } }, { "-b" } },
    { "replaced", { "a", "b" }, { { "c", 12 } }, { "-a", "-b", "c" } },
};

} // namespace

// Guards against an endpoint that was removed while the store's history was lost and stays in the copies of other
// entries.
BOOST_DATA_TEST_CASE(lost_history_is_passed_on_as_changes, data::make(lostCases), each)
{
    StoreRange range;
    range.revision = Revision(30);
    for (const auto& [key, revision] : each.range)
        range.items.push_back({ key, "value", Revision(revision), Revision(1) });
    WatchBatch batch = changesSince(each.keys, Revision(10), range);
    std::set<std::string> relayed;
    for (const StoreItem& item : batch.items) {
        relayed.insert(item.value.empty() ? "-" + item.key : item.key);
        BOOST_TEST(item.modRevision > Revision(10));
        BOOST_TEST(item.modRevision <= batch.revision);
    }
    BOOST_TEST((relayed == each.relayed));
}
