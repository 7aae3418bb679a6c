#define BOOST_TEST_MODULE relayed_view
#include "wisteriayard/relayed_view.h"
#include "wisteriayard/store_numbers.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration time) { return TimePoint(seconds(100) + time); }

RelayedView loadedView(std::int64_t revision)
{
    RelayedView view;
    view.loaded(Revision(revision), at(milliseconds(0)));
    return view;
}

ViewProgress progress(std::int64_t lastChange, std::int64_t revision, Duration age)
{
    return { Revision(lastChange), Revision(revision), age };
}

struct ReadCase {
    const char* name;
    std::function<void(RelayedView&)> events;
    Duration when;
    ReadCause cause;
    std::int64_t revision;
};
std::ostream& operator<<(std::ostream& out, const ReadCase& each) { return out << each.name; }

void changes(RelayedView& view, std::int64_t from, std::int64_t to, Duration when)
{
    view.advanceFromObserver(Revision(from), Revision(to), Revision(to), at(when));
}

const ReadCase readCases[] = {
    { "silent_observers", [](RelayedView&) {}, milliseconds(2200), ReadCause::Stale, 10 },
    { "just_loaded", [](RelayedView&) {}, milliseconds(2000), ReadCause::None, 10 },
    { "observers_without_contact_to_the_store",
        [](RelayedView& view) {
            for (int i = 0; i < 8; ++i)
                view.applyProgress(progress(10, 12, milliseconds(500 * i + 400)), at(milliseconds(500 * i)));
        },
        milliseconds(3600), ReadCause::Stale, 12 },
    { "confirmed_by_a_second_observer",
        [](RelayedView& view) {
            view.applyProgress(progress(10, 10, seconds(9)), at(milliseconds(3000)));
            view.applyProgress(progress(9, 11, milliseconds(300)), at(milliseconds(3000)));
        },
        milliseconds(3100), ReadCause::None, 11 },
    { "changes_in_order",
        [](RelayedView& view) {
            changes(view, 10, 14, milliseconds(100));
            changes(view, 14, 15, milliseconds(200));
        },
        milliseconds(400), ReadCause::None, 15 },
    { "changes_twice",
        [](RelayedView& view) {
            changes(view, 10, 14, milliseconds(100));
            changes(view, 10, 14, milliseconds(200));
        },
        milliseconds(400), ReadCause::None, 14 },
    { "overlapping_changes_of_two_observers",
        [](RelayedView& view) {
            changes(view, 10, 14, milliseconds(100));
            changes(view, 12, 17, milliseconds(200));
        },
        milliseconds(400), ReadCause::None, 17 },
    { "lost_changes_show_in_the_next", [](RelayedView& view) { changes(view, 14, 15, milliseconds(200)); },
        milliseconds(300), ReadCause::Gap, 10 },
    { "lost_changes_show_in_the_next_progress_report",
        [](RelayedView& view) { view.applyProgress(progress(14, 16, milliseconds(5)), at(milliseconds(200))); },
        milliseconds(300), ReadCause::Gap, 10 },
    { "changes_right_after_the_progress_report",
        [](RelayedView& view) {
            view.applyProgress(progress(14, 14, milliseconds(5)), at(milliseconds(200)));
            changes(view, 10, 14, milliseconds(210));
            view.applyProgress(progress(14, 14, milliseconds(5)), at(milliseconds(250)));
        },
        milliseconds(400), ReadCause::None, 14 },
    { "observer_that_read_all_anew",
        [](RelayedView& view) { view.applyProgress(progress(30, 30, milliseconds(5)), at(milliseconds(200))); },
        milliseconds(300), ReadCause::Gap, 10 },
    { "store_fills_the_gap",
        [](RelayedView& view) {
            changes(view, 14, 15, milliseconds(200));
            view.advanceFromStore(Revision(16), Revision(15), at(milliseconds(280)));
        },
        milliseconds(400), ReadCause::None, 16 },
    { "history_is_gone", [](RelayedView& view) { view.unload(); }, milliseconds(10), ReadCause::NotLoaded, 0 },
    { "changes_before_a_copy_is_loaded",
        [](RelayedView& view) {
            view.unload();
            changes(view, 10, 14, milliseconds(100));
        },
        milliseconds(200), ReadCause::NotLoaded, 0 },
};

/// Revision in the era that follows the one of the other cases, in which numbers are given out again.
std::int64_t restored(std::int64_t number) { return revisionOf(StoreEra(1), number).value(); }

const ReadCase restoredCases[] = {
    { "changes_of_the_restored_store", [](RelayedView& view) { changes(view, restored(5), restored(6), Duration(0)); },
        milliseconds(100), ReadCause::Gap, 10 },
    { "changes_that_follow_the_lost_history", [](RelayedView& view) { changes(view, 10, restored(6), Duration(0)); },
        milliseconds(100), ReadCause::Gap, 10 },
    { "progress_report_of_the_restored_store",
        [](RelayedView& view) {
            view.applyProgress(progress(restored(4), restored(6), milliseconds(5)), at(milliseconds(0)));
        },
        milliseconds(100), ReadCause::Gap, 10 },
    { "progress_report_without_a_change_since_the_restoration",
        [](RelayedView& view) { view.applyProgress(progress(10, restored(6), milliseconds(5)), at(milliseconds(0))); },
        milliseconds(100), ReadCause::Gap, 10 },
    { "read_of_the_restored_store",
        [](RelayedView& view) {
            view.applyProgress(progress(restored(4), restored(6), milliseconds(5)), at(milliseconds(0)));
            view.loaded(Revision(restored(6)), at(milliseconds(80)));
        },
        milliseconds(100), ReadCause::None, restored(6) },
    { "observer_that_has_not_noticed_the_restoration",
        [](RelayedView& view) {
            view.loaded(Revision(restored(6)), at(milliseconds(0)));
            view.applyProgress(progress(12, 14, milliseconds(5)), at(milliseconds(2000)));
            changes(view, 14, 15, milliseconds(2100));
        },
        milliseconds(2200), ReadCause::Stale, restored(6) },
};

struct RoleCase {
    int entries;
    std::size_t observers;
    ViewRole others;
};
std::ostream& operator<<(std::ostream& out, const RoleCase& each) { return out << each.entries; }

const RoleCase roleCases[] = {
    { 1, 0, ViewRole::Alone },
    { 4, 0, ViewRole::Alone },
    { 5, observersPerRegion, ViewRole::Follower },
    { 51, observersPerRegion, ViewRole::Follower },
};

std::vector<InstanceId> entriesOf(int count)
{
    std::vector<InstanceId> entries;
    for (int i = 0; i < count; ++i)
        entries.emplace_back("entry-" + std::to_string(i));
    return entries;
}

std::vector<InstanceId> without(std::vector<InstanceId> entries, const InstanceId& left)
{
    std::erase(entries, left);
    return entries;
}

} // namespace

// Guards against a copy that misses a change, or counts as fresh although no observer has had contact with the store.
BOOST_DATA_TEST_CASE(store_is_read_when_observers_do_not_suffice, data::make(readCases), each)
{
    RelayedView view = loadedView(10);
    each.events(view);
    BOOST_TEST((view.storeReadCause(at(each.when)) == each.cause));
    BOOST_TEST(view.revision().value() == each.revision);
}

// Guards against a copy that compares revisions of two histories of a store, which has given them out twice.
BOOST_DATA_TEST_CASE(copy_of_another_era_is_read_anew, data::make(restoredCases), each)
{
    RelayedView view = loadedView(10);
    each.events(view);
    BOOST_TEST((view.storeReadCause(at(each.when)) == each.cause));
    BOOST_TEST(view.revision().value() == each.revision);
}

// Guards against confirming a copy as of a datagram's arrival instead of the store's response.
BOOST_AUTO_TEST_CASE(age_counts_from_the_answer_of_the_store)
{
    RelayedView view = loadedView(10);
    view.applyProgress(progress(10, 12, milliseconds(700)), at(milliseconds(1000)));
    BOOST_TEST((view.confirmedAt() == at(milliseconds(300))));
    BOOST_TEST((view.progress(at(milliseconds(1500))).age == milliseconds(1200)));
}

// Guards against progress reports that make other entries read the store although nothing changed.
BOOST_AUTO_TEST_CASE(mark_names_the_last_change_only)
{
    RelayedView view = loadedView(10);
    view.advanceFromStore(Revision(40), Revision(12), at(milliseconds(100)));
    view.advanceFromStore(Revision(55), std::nullopt, at(milliseconds(200)));
    ViewProgress reported = view.progress(at(milliseconds(300)));
    BOOST_TEST(reported.lastChange.value() == 12);
    BOOST_TEST(reported.revision.value() == 55);
    RelayedView other = loadedView(12);
    other.applyProgress(reported, at(milliseconds(300)));
    BOOST_TEST(other.revision().value() == 55);
    BOOST_TEST((other.storeReadCause(at(milliseconds(400))) == ReadCause::None));
}

// Guards against a region without observers, and against one where every entry is an observer.
BOOST_DATA_TEST_CASE(few_entries_of_a_region_observe, data::make(roleCases), each)
{
    std::vector<InstanceId> entries = entriesOf(each.entries);
    std::size_t observers = 0;
    for (const InstanceId& entry : entries) {
        std::vector<InstanceId> others = without(entries, entry);
        ViewRole role = viewRole(entry, true, others, others);
        if (role == ViewRole::Observer)
            ++observers;
        else
            BOOST_TEST((role == each.others));
    }
    BOOST_TEST(observers == each.observers);
}

// Guards against a region that stays with one observer after the loss of another.
BOOST_AUTO_TEST_CASE(lost_observer_is_replaced)
{
    std::vector<InstanceId> entries = entriesOf(20);
    for (const InstanceId& lost : entriesOf(20)) {
        std::vector<InstanceId> live = without(entries, lost);
        auto observes = [&](const InstanceId& entry) {
            return viewRole(entry, true, without(live, entry), without(live, entry)) == ViewRole::Observer;
        };
        BOOST_TEST(static_cast<std::size_t>(std::count_if(live.begin(), live.end(), observes)) == observersPerRegion);
    }
}

struct RefusedCase {
    const char* name;
    /// Entries of 20 that the store refuses.
    std::function<bool(std::size_t index)> refused;
};
std::ostream& operator<<(std::ostream& out, const RefusedCase& each) { return out << each.name; }

const RefusedCase refusedCases[] = {
    { "none", [](std::size_t) { return false; } },
    { "some", [](std::size_t index) { return index % 3 == 0; } },
    { "most", [](std::size_t index) { return index > 3; } },
    { "all", [](std::size_t) { return true; } },
};

// Guards against observers that the store refuses while it serves other entries of their region: all copies there would
// become stale, and every entry would read the store itself.
BOOST_DATA_TEST_CASE(observers_are_those_that_reach_the_store, data::make(refusedCases), each)
{
    std::vector<InstanceId> entries = entriesOf(20);
    std::vector<InstanceId> reaching;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (!each.refused(i))
            reaching.push_back(entries[i]);
    }
    std::size_t observers = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        ViewRole role
            = viewRole(entries[i], !each.refused(i), without(entries, entries[i]), without(reaching, entries[i]));
        if (role != ViewRole::Observer)
            continue;
        ++observers;
        BOOST_TEST((!each.refused(i) || reaching.empty()));
    }
    BOOST_TEST(observers == observersPerRegion);
}
