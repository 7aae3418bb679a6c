#define BOOST_TEST_MODULE fanout
#include "wisteriayard/fanout.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace wisteriayard;

namespace {

using std::chrono::milliseconds;

/// Entries of one zone that hear each other after a step of 10 ms; each reads a store without delay.
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
            take(entry, entry.fanout->membersChanged(ids, now));
    }

    void put(const std::string& key, const std::string& value)
    {
        ++revision;
        ConfigItem item { key, value, Revision(revision) };
        store[key] = item;
        for (auto& [id, entry] : entries) {
            if (entry.up && entry.watching)
                take(entry, entry.fanout->storeChanges({ item }, Revision(revision), now));
        }
    }

    void take(Entry& entry, const FanoutResult& result)
    {
        for (const ConfigItem& item : result.changed) {
            // A lower revision that replaces a higher one would take a change back.
            BOOST_TEST(item.revision > entry.view[item.key].revision);
            entry.view[item.key] = item;
        }
        for (const FanoutSend& send : result.sends)
            messages.push_back({ entry.id, send });
    }

    void step(Entry& entry)
    {
        take(entry, entry.fanout->tick(now));
        bool wasWatching = std::exchange(entry.watching, entry.fanout->watches());
        if (entry.watching && !wasWatching) {
            std::vector<ConfigItem> items;
            for (const auto& [key, item] : store) {
                if (!item.value.empty())
                    items.push_back(item);
            }
            take(entry, entry.fanout->storeSnapshot(items, Revision(revision), now, now));
        }
        if (entry.watching && now.time_since_epoch() % milliseconds(1000) == Duration(0)) {
            take(entry, entry.fanout->storeChanges({}, Revision(revision), now));
            take(entry, entry.fanout->storeProbed(Revision(revision), now, now));
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
                    std::visit([&](const auto& each) { take(to, to.fanout->received(message.from, each, now)); },
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

    /// Every entry that is up holds the value, confirmed within the age.
    bool everywhere(const std::string& key, const std::string& value, Duration age)
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

/// Freshness: a probe each second, a heartbeat, and the steps between.
constexpr Duration freshness = milliseconds(1000 + 400 + 100);

struct Case {
    int entries;
    std::vector<std::size_t> down;
    int watches;
    Duration replaced;
};

std::ostream& operator<<(std::ostream& out, const Case& c) { return out << c.entries << " entries"; }

// Guards against a zone whose relays are gone or silent and that no longer hears of changes, and against more watches
// than two in a zone.
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
    BOOST_TEST(zone.everywhere("contract/a", "1", freshness));
    BOOST_TEST(zone.watches() == std::min(sample.entries, 2));
    for (std::size_t rank : sample.down)
        zone.ranked(rank).up = false;
    zone.put("contract/a", "2");
    zone.run(sample.replaced + milliseconds(100));
    BOOST_TEST(zone.everywhere("contract/a", "2", sample.replaced + freshness));
    zone.run(milliseconds(5000));
    BOOST_TEST(zone.everywhere("contract/a", "2", freshness));
    BOOST_TEST(zone.watches() >= sample.watches);
    for (auto& [id, entry] : zone.entries)
        entry.up = true;
    zone.run(milliseconds(5000));
    BOOST_TEST(zone.watches() == std::min(sample.entries, 2));
    zone.put("contract/a", "");
    zone.run(milliseconds(100));
    BOOST_TEST(zone.everywhere("contract/a", "", freshness));
}

// Guards against a relay that was paused and passes on as fresh what was in a buffer, and against an update that
// counts although one before it was lost.
BOOST_AUTO_TEST_CASE(freshness_counts_from_the_receivers_question)
{
    TimePoint now { milliseconds(10'000) };
    InstanceId a("a");
    Fanout receiver(ZoneId("z"), InstanceId("self"), now);
    auto asked = receiver.membersChanged({ a, InstanceId("b"), InstanceId("c"), InstanceId("d") }, now);
    while (asked.sends.empty())
        asked = receiver.tick(now += milliseconds(10));
    InstanceId relay = asked.sends[0].to;
    TimePoint askedAt = now;
    ViewUpdate update;
    update.digestSequence = std::get<ViewDigest>(asked.sends[0].message).sequence;
    update.confirmedAfterDigest = milliseconds(-300);
    update.revision = Revision(5);
    update.snapshot = true;
    now += milliseconds(700); // in a buffer
    receiver.received(relay, update, now);
    BOOST_REQUIRE(receiver.confirmedAt());
    BOOST_TEST((*receiver.confirmedAt() == askedAt - milliseconds(300)));
    update.snapshot = false;
    update.from = Revision(7);
    update.revision = Revision(8);
    update.confirmedAfterDigest = milliseconds(500);
    update.items = { { "key/1", "{}", Revision(8) } };
    auto result = receiver.received(relay, update, now);
    BOOST_TEST(result.changed.size() == 1);
    BOOST_TEST(receiver.revision().value() == 5);
    BOOST_TEST((*receiver.confirmedAt() == askedAt - milliseconds(300)));
    BOOST_REQUIRE(result.sends.size() == 1);
    BOOST_TEST(std::get<ViewDigest>(result.sends[0].message).revision.value() == 5);
}
