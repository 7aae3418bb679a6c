#define BOOST_TEST_MODULE usage
#include "wisteriayard/usage.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;

namespace {

const IncarnationId self("e1");
const UsageKey key { AccountId("a"), ClassId("chat") };
const WindowId window(5);

UsageFigures requests(int count)
{
    UsageFigures figures;
    figures.requests = count;
    figures.output = Tokens(10 * count);
    return figures;
}

/// Returns the number of requests in the lines and late lines.
std::int64_t total(const UsageContent& content)
{
    std::int64_t sum = 0;
    for (const auto& [each, figures] : content.lines)
        sum += figures.requests;
    for (const auto& [arose, lines] : content.late)
        for (const auto& [each, figures] : lines)
            sum += figures.requests;
    return sum;
}

struct SettleCase {
    /// Sequence number that the final record includes; 0 if it includes no record of this entry.
    std::uint64_t counted;
    std::int64_t late;
};

std::ostream& operator<<(std::ostream& out, const SettleCase& c) { return out << "counted " << c.counted; }

// Two partial records of 1 and 3 requests are written, and two more requests are counted afterwards.
const SettleCase settleCases[] = { { 0, 5 }, { 1, 4 }, { 2, 2 } };

} // namespace

// Guards against usage that is lost or counted twice when a final record includes an older partial record.
BOOST_DATA_TEST_CASE(usage_not_in_the_final_record_is_late, boost::unit_test::data::make(settleCases))
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto first = ledger.nextPartialRecord(window);
    ledger.count(window, key, requests(2));
    auto second = ledger.nextPartialRecord(window);
    ledger.count(window, key, requests(2));
    std::map<IncarnationId, PartialUsageRecord> records;
    if (sample.counted > 0)
        records[self] = sample.counted == 1 ? *first : *second;
    FinalUsageRecord final = makeFinalUsageRecord(window, records);
    BOOST_TEST(ledger.settle(final, WindowId(7)) == sample.late);
    auto carried = ledger.nextPartialRecord(WindowId(7));
    BOOST_REQUIRE(carried);
    BOOST_TEST(carried->content.late.at(window).at(key).requests == sample.late);
    BOOST_TEST(total(final.content) + total(carried->content) == 5);
    // The next final record omits the late usage too: it stays late usage of the window in which it arose.
    BOOST_TEST(ledger.settle(makeFinalUsageRecord(WindowId(7), {}), WindowId(8)) == sample.late);
    BOOST_TEST(ledger.nextPartialRecord(WindowId(8))->content.late.at(window).at(key).requests == sample.late);
}

// Guards against changed figures in a write that is repeated because its response was lost.
BOOST_AUTO_TEST_CASE(unconfirmed_record_is_written_again_unchanged)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto first = ledger.nextPartialRecord(window);
    auto again = ledger.nextPartialRecord(window);
    BOOST_REQUIRE(again);
    BOOST_TEST(again->sequence == first->sequence);
    ledger.partialRecordStored(window, first->sequence);
    BOOST_TEST(!ledger.nextPartialRecord(window));
}

// Guards against usage of an open window that is missing in its report after the store has lost the partial record.
BOOST_AUTO_TEST_CASE(lost_record_is_written_again_unchanged)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto first = ledger.nextPartialRecord(window);
    ledger.partialRecordStored(window, first->sequence);
    ledger.partialRecordsLost();
    auto again = ledger.nextPartialRecord(window);
    BOOST_REQUIRE(again);
    BOOST_TEST(again->sequence == first->sequence);
    BOOST_TEST((again->content == first->content));
}

// Guards against a settled window that is reopened with the same sequence numbers when the clock is set back.
BOOST_AUTO_TEST_CASE(settled_window_stays_closed)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto record = ledger.nextPartialRecord(window);
    ledger.settle(makeFinalUsageRecord(window, { { self, *record } }), WindowId(6));
    ledger.count(window, key, requests(1));
    BOOST_TEST((ledger.windows() == std::vector<WindowId> { WindowId(6) }));
}

// Guards against a takeover in which the new sender reports the same record with different text.
BOOST_AUTO_TEST_CASE(records_survive_a_json_round_trip)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(3));
    auto record = ledger.nextPartialRecord(window);
    record->content.late[WindowId(2)][key] = requests(1);
    auto parsed = parsePartialUsageRecord(partialUsageRecordJson(*record));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((parsed.value().content == record->content));
    std::string text = finalUsageRecordJson(makeFinalUsageRecord(window, { { self, *record } }));
    auto final = parseFinalUsageRecord(text);
    BOOST_REQUIRE(final);
    BOOST_TEST(finalUsageRecordJson(final.value()) == text);
    BOOST_TEST(!parseFinalUsageRecord("{}"));
    BOOST_TEST(!parsePartialUsageRecord("[]"));
}
