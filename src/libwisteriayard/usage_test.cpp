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

/// Requests in the lines and late lines of a content.
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
    /// Sequence number that the final record counts; 0 if it has no part of this entry.
    std::uint64_t counted;
    std::int64_t late;
};

std::ostream& operator<<(std::ostream& out, const SettleCase& c) { return out << "counted " << c.counted; }

// Two parts of 1 and 3 requests are written, and two more requests are counted afterwards.
const SettleCase settleCases[] = { { 0, 5 }, { 1, 4 }, { 2, 2 } };

} // namespace

// Guards against usage that is lost or counted twice when a final record counts an older part.
BOOST_DATA_TEST_CASE(what_the_final_record_left_out_is_late, boost::unit_test::data::make(settleCases))
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto first = ledger.nextPart(window);
    ledger.count(window, key, requests(2));
    auto second = ledger.nextPart(window);
    ledger.count(window, key, requests(2));
    std::map<IncarnationId, UsagePart> parts;
    if (sample.counted > 0)
        parts[self] = sample.counted == 1 ? *first : *second;
    UsageFinal final = makeUsageFinal(window, parts);
    BOOST_TEST(ledger.settle(final, WindowId(7)) == sample.late);
    auto carried = ledger.nextPart(WindowId(7));
    BOOST_REQUIRE(carried);
    BOOST_TEST(carried->content.late.at(window).at(key).requests == sample.late);
    BOOST_TEST(total(final.content) + total(carried->content) == 5);
    // The next record leaves the late part out as well: it stays late of its own window.
    BOOST_TEST(ledger.settle(makeUsageFinal(WindowId(7), {}), WindowId(8)) == sample.late);
    BOOST_TEST(ledger.nextPart(WindowId(8))->content.late.at(window).at(key).requests == sample.late);
}

// Guards against a repeated write after a lost answer that changes the figures.
BOOST_AUTO_TEST_CASE(unconfirmed_part_is_written_again_unchanged)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto first = ledger.nextPart(window);
    auto again = ledger.nextPart(window);
    BOOST_REQUIRE(again);
    BOOST_TEST(again->sequence == first->sequence);
    ledger.partStored(window, first->sequence);
    BOOST_TEST(!ledger.nextPart(window));
}

// Guards against a clock that is set back and reopens a settled window under the same sequence numbers.
BOOST_AUTO_TEST_CASE(settled_window_takes_nothing_in)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(1));
    auto part = ledger.nextPart(window);
    ledger.settle(makeUsageFinal(window, { { self, *part } }), WindowId(6));
    ledger.count(window, key, requests(1));
    BOOST_TEST((ledger.windows() == std::vector<WindowId> { WindowId(6) }));
}

// Guards against a successor that sends other text than the first sender.
BOOST_AUTO_TEST_CASE(records_survive_their_text_form)
{
    UsageLedger ledger(self);
    ledger.count(window, key, requests(3));
    auto part = ledger.nextPart(window);
    part->content.late[WindowId(2)][key] = requests(1);
    auto parsed = parseUsagePart(usagePartJson(*part));
    BOOST_REQUIRE(parsed);
    BOOST_TEST((parsed.value().content == part->content));
    std::string text = usageFinalJson(makeUsageFinal(window, { { self, *part } }));
    auto final = parseUsageFinal(text);
    BOOST_REQUIRE(final);
    BOOST_TEST(usageFinalJson(final.value()) == text);
    BOOST_TEST(!parseUsageFinal("{}"));
    BOOST_TEST(!parseUsagePart("[]"));
}
