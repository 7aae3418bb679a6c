#define BOOST_TEST_MODULE usage_store
#include "usage_store.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

/// Largest number of entries in a transaction that the users' platform accepts, conditions included.
constexpr std::size_t platformLimit = 32;

struct DeletionCase {
    int items;
    std::size_t transactions;
};
std::ostream& operator<<(std::ostream& out, const DeletionCase& each) { return out << each.items; }

const DeletionCase deletionCases[] = { { 0, 0 }, { 1, 1 }, { 30, 1 }, { 31, 2 }, { 103, 4 } };

} // namespace

// Guards against transactions that the platform refuses as too large: in fleets with more than 31 entry processes, the
// partial usage records of closed windows were never deleted.
BOOST_DATA_TEST_CASE(deletions_fit_into_transactions, data::make(deletionCases), each)
{
    std::vector<StoreItem> items;
    for (int i = 0; i < each.items; ++i)
        items.push_back({ "usage/part/" + std::to_string(i), "x", Revision(1), Revision(1) });
    auto transactions = deleteTransactions(items, CompareCreateRevision { "lease/usage", Revision(5) });
    BOOST_TEST(transactions.size() == each.transactions);
    std::size_t deleted = 0;
    for (const Transaction& transaction : transactions) {
        BOOST_TEST(transaction.compares.size() == 1u);
        BOOST_TEST(transaction.compares.size() + transaction.onSuccess.size() <= platformLimit);
        deleted += transaction.onSuccess.size();
    }
    BOOST_TEST(deleted == items.size());
}

// Guards against writing partial usage records of several entries after their window was closed.
BOOST_AUTO_TEST_CASE(parts_are_written_under_one_condition)
{
    std::map<IncarnationId, PartialUsageRecord> parts;
    for (std::size_t i = 0; i < keysPerTransaction; ++i)
        parts[IncarnationId("entry-" + std::to_string(i))].sequence = i;
    Transaction transaction = partialRecordsTransaction(WindowId(7), parts);
    BOOST_REQUIRE(transaction.compares.size() == 1u);
    BOOST_TEST(std::get<CompareModRevision>(transaction.compares[0]).key == finalUsageRecordKey(WindowId(7)));
    BOOST_TEST(transaction.compares.size() + transaction.onSuccess.size() <= platformLimit);
    BOOST_TEST(transaction.onSuccess.size() == parts.size());
}
