#define BOOST_TEST_MODULE fanout
#include "wisteriayard/fanout.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace wisteriayard;

namespace {

using std::chrono::milliseconds;

/// Entries of one zone that receive each other's messages after a step of 10 ms; each reads a store without delay.
struct Zone {
    struct Entry {
        InstanceId id;
        std::unique_ptr<Fanout> fanout;
        bool up = true;
        bool watching = false;
        std::map<std::string, ConfigItem> view;
    };
    struct Message {
        InstanceId from;
        FanoutSend send;
    };

    explicit Zone(int count)
    {
        std::vector<InstanceId> ids;
        for (int i = 0; i < count; ++i)
            ids.emplace_back("entry-" + std::to_string(i));
        for (const InstanceId& id : ids)
            entries[id] = { id, std::make_unique<Fanout>(ZoneId("z"), id, now), true, false, {} };
        setMembers(ids);
    }

    void setMembers(const std::vector<InstanceId>& ids)
    {
        for (auto& [id, entry] : entries)
            apply(entry, entry.fanout->membersChanged(ids, now));
    }

    void put(const std::string& key, const std::string& value)
    {
        ++revision;
        ConfigItem item { key, value, Revision(revision) };
        store[key] = item;
        for (auto& [id, entry] : entries) {
            if (entry.up && entry.watching)
                apply(entry, entry.fanout->applyStoreChanges({ item }, Revision(revision), now));
        }
    }

    void apply(Entry& entry, const FanoutResult& result)
    {
        for (const ConfigItem& item : result.changed) {
            // A lower revision that replaces a higher one would revert a change.
            BOOST_TEST(item.revision > entry.view[item.key].revision);
            entry.view[item.key] = item;
        }
        for (const FanoutSend& send : result.sends)
            messages.push_back({ entry.id, send });
    }

    void step(Entry& entry)
    {
        apply(entry, entry.fanout->tick(now));
        bool wasWatching = std::exchange(entry.watching, entry.fanout->watchesStore());
        if (entry.watching && !wasWatching) {
            std::vector<ConfigItem> items;
            for (const auto& [key, item] : store) {
                if (!item.value.empty())
                    items.push_back(item);
            }
            apply(entry, entry.fanout->applyStoreSnapshot(items, Revision(revision), now, now));
        }
        if (entry.watching && now.time_since_epoch() % milliseconds(1000) == Duration(0)) {
            apply(entry, entry.fanout->applyStoreChanges({}, Revision(revision), now));
            apply(entry, entry.fanout->applyStoreProbe(Revision(revision), now, now));
        }
    }

    void run(Duration time)
    {
        for (TimePoint end = now + time; now < end;) {
            now += milliseconds(10);
            auto arriving = std::exchange(messages, {});
            for (const Message& message : arriving) {
                Entry& to = entries.at(message.send.to);
                if (to.up)
                    std::visit([&](const auto& each) { apply(to, to.fanout->received(message.from, each, now)); },
                        message.send.message);
            }
            for (auto& [id, entry] : entries) {
                if (entry.up)
                    step(entry);
            }
        }
    }

    int watches() const
    {
        return static_cast<int>(std::count_if(
            entries.begin(), entries.end(), [](const auto& each) { return each.second.up && each.second.watching; }));
    }

    Entry& ranked(std::size_t rank)
    {
        auto it = std::find_if(
            entries.begin(), entries.end(), [rank](const auto& each) { return each.second.fanout->rank() == rank; });
        return it->second;
    }

    /// Whether every entry that is up holds the value, confirmed within the age.
    bool allEntriesHold(const std::string& key, const std::string& value, Duration age)
    {
        return std::all_of(entries.begin(), entries.end(), [&](auto& each) {
            Entry& entry = each.second;
            auto at = entry.fanout->confirmedAt();
            return !entry.up || (entry.view[key].value == value && at && now - *at <= age);
        });
    }

    TimePoint now { milliseconds(1000) };
    std::map<InstanceId, Entry> entries;
    std::map<std::string, ConfigItem> store;
    std::vector<Message> messages;
    std::int64_t revision = 1;
};

/// Bound on the age of a view: a probe each second, a relay heartbeat, and the steps in between.
constexpr Duration freshness = milliseconds(1000 + 400 + 100);

struct Case {
    int entries;
    std::vector<std::size_t> down;
    int watches;
    Duration replaced;
};

std::ostream& operator<<(std::ostream& out, const Case& c) { return out << c.entries << " entries"; }

// Guards against a zone that misses changes after its relays are gone or stop sending, and against more than two
// watches in a zone.
const Case cases[] = {
    { 1, {}, 1, milliseconds(0) },
    { 2, {}, 2, milliseconds(0) },
    { 2, { 0 }, 1, milliseconds(0) },
    { 3, { 1 }, 2, milliseconds(1500) },
    { 5, {}, 2, milliseconds(0) },
    { 5, { 0 }, 2, milliseconds(1500) },
    { 5, { 0, 1 }, 1, milliseconds(2500) },
    { 5, { 0, 1, 2 }, 1, milliseconds(3500) },
    { 60, { 0, 1 }, 1, milliseconds(2500) },
    { 60, { 0, 1, 2, 3, 4 }, 1, milliseconds(4500) },
};

} // namespace

BOOST_DATA_TEST_CASE(changes_reach_all_while_relays_are_silent, boost::unit_test::data::make(cases))
{
    Zone zone(sample.entries);
    zone.put("contract/a", "1");
    zone.run(milliseconds(3000));
    BOOST_TEST(zone.allEntriesHold("contract/a", "1", freshness));
    BOOST_TEST(zone.watches() == std::min(sample.entries, 2));
    for (std::size_t rank : sample.down)
        zone.ranked(rank).up = false;
    zone.put("contract/a", "2");
    zone.run(sample.replaced + milliseconds(100));
    BOOST_TEST(zone.allEntriesHold("contract/a", "2", sample.replaced + freshness));
    zone.run(milliseconds(5000));
    BOOST_TEST(zone.allEntriesHold("contract/a", "2", freshness));
    BOOST_TEST(zone.watches() >= sample.watches);
    for (auto& [id, entry] : zone.entries)
        entry.up = true;
    zone.run(milliseconds(5000));
    BOOST_TEST(zone.watches() == std::min(sample.entries, 2));
    zone.put("contract/a", "");
    zone.run(milliseconds(100));
    BOOST_TEST(zone.allEntriesHold("contract/a", "", freshness));
}

// Guards against stale data that counts as fresh because it was buffered while a relay or receiver was paused, and
// against an update that confirms the view although an earlier one was lost.
BOOST_AUTO_TEST_CASE(freshness_counts_from_the_receivers_question)
{
    TimePoint now { milliseconds(10'000) };
    InstanceId a("a");
    Fanout receiver(ZoneId("z"), InstanceId("self"), now);
    auto requests = receiver.membersChanged({ a, InstanceId("b"), InstanceId("c"), InstanceId("d") }, now);
    while (requests.sends.empty())
        requests = receiver.tick(now += milliseconds(10));
    InstanceId relay = requests.sends[0].to;
    TimePoint requestedAt = now;
    ViewUpdate update;
    update.digestSequence = std::get<ViewDigest>(requests.sends[0].message).sequence;
    update.confirmedAfterDigest = milliseconds(-300);
    update.revision = Revision(5);
    update.snapshot = true;
    now += milliseconds(700); // time in a buffer
    receiver.received(relay, update, now);
    BOOST_REQUIRE(receiver.confirmedAt());
    BOOST_TEST((*receiver.confirmedAt() == requestedAt - milliseconds(300)));
    update.snapshot = false;
    update.from = Revision(7);
    update.revision = Revision(8);
    update.confirmedAfterDigest = milliseconds(500);
    update.items = { { "key/1", "{}", Revision(8) } };
    auto result = receiver.received(relay, update, now);
    BOOST_TEST(result.changed.size() == 1);
    BOOST_TEST(receiver.revision().value() == 5);
    BOOST_TEST((*receiver.confirmedAt() == requestedAt - milliseconds(300)));
    BOOST_REQUIRE(result.sends.size() == 1);
    BOOST_TEST(std::get<ViewDigest>(result.sends[0].message).revision.value() == 5);
}
