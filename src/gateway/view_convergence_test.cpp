#define BOOST_TEST_MODULE view_convergence
#include "clock.h"
#include "store_era.h"
#include "store_follower.h"
#include "wisteriayard/store_numbers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <spdlog/sinks/null_sink.h>

#include <algorithm>
#include <random>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using boost::asio::awaitable;
using std::chrono::milliseconds;

namespace {

using Content = std::map<std::string, std::string>;

/// Key whose value does not fit into a datagram.
constexpr const char* largeKey = "config/0";

const std::string& filler()
{
    static const std::string text = [] {
        std::string numbers;
        for (int i = 0; i < 4000; ++i)
            numbers += ',' + std::to_string(i);
        return numbers;
    }();
    return text;
}

/// A store in the same process that can be down, and can be restored to an earlier state of itself.
class RestorableStore {
public:
    Revision revision() const { return revisionOf(m_era, m_number); }
    StoreEra era() const { return m_era; }
    bool isDown() const { return m_down; }
    void setDown(bool down) { m_down = down; }
    /// Revision of the last change in this era; of the restoration if there was none.
    Revision lastChange() const
    {
        return revisionOf(m_era, m_history.empty() ? m_historyStart : numberInEra(m_history.back().modRevision));
    }

    void put(const std::string& key)
    {
        ++m_number;
        std::string value = "value " + std::to_string(m_era.value()) + "/" + std::to_string(m_number);
        // Relayed as a difference, beside the small values of the other keys.
        if (key == largeKey)
            value += filler();
        StoreItem item { key, std::move(value), revision(), revision() };
        m_items[key] = item;
        m_history.push_back(std::move(item));
        m_states[m_number] = m_items;
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_number;
        m_history.push_back({ key, std::string(), revision(), Revision() });
        m_states[m_number] = m_items;
    }
    /// Changes of keys outside of the copies give numbers out, too.
    void passRevisions(std::int64_t count) { m_number += count; }
    /// Loses the history up to now.
    void compact()
    {
        m_historyStart = m_number;
        m_history.clear();
    }
    /// Comes back as it was some changes ago.
    void restore(std::size_t changes)
    {
        while (m_states.size() > 1 && changes-- > 0)
            m_states.erase(std::prev(m_states.end()));
        m_era = StoreEra(m_era.value() + 1);
        m_number = m_states.rbegin()->first;
        m_items = m_states.rbegin()->second;
        for (auto& [key, item] : m_items) {
            item.modRevision = revisionOf(m_era, numberInEra(item.modRevision));
            item.createRevision = item.modRevision;
        }
        m_states.rbegin()->second = m_items;
        compact();
    }

    StoreRange range() const
    {
        StoreRange range { {}, revision() };
        for (const auto& [key, item] : m_items)
            range.items.push_back(item);
        return range;
    }
    bool hasHistoryAfter(Revision seen) const
    {
        return eraOf(seen) == m_era && numberInEra(seen) >= m_historyStart && seen <= revision();
    }
    WatchBatch changesAfter(Revision seen) const
    {
        WatchBatch batch { revision(), {} };
        std::copy_if(m_history.begin(), m_history.end(), std::back_inserter(batch.items),
            [seen](const StoreItem& item) { return item.modRevision > seen; });
        return batch;
    }
    Content content() const
    {
        Content content;
        for (const auto& [key, item] : m_items)
            content[key] = item.value;
        return content;
    }

private:
    StoreEra m_era { 1 };
    std::int64_t m_number = 10;
    std::int64_t m_historyStart = 10;
    StoreValues m_items;
    std::vector<StoreItem> m_history;
    /// States after each change, by revision number; kept over restorations as far as they go back.
    std::map<std::int64_t, StoreValues> m_states { { 10, {} } };
    bool m_down = false;
};

/// State that the entries of a run share.
struct World {
    explicit World(std::uint32_t seed)
        : random(seed)
    {
    }

    bool chance(double probability) { return std::bernoulli_distribution(probability)(random); }
    int number(int first, int last) { return std::uniform_int_distribution<int>(first, last)(random); }
    Duration delay(int maxMilliseconds) { return milliseconds(number(0, maxMilliseconds)); }

    std::mt19937 random;
    RestorableStore store;
    /// Share of datagrams that are lost.
    double lossRate = 0.2;
};

/// Client of a RestorableStore; provides only what a copy needs.
class RestorableStoreClient : public StoreClient {
public:
    RestorableStoreClient(boost::asio::io_context& io, World& world, StoreEraMonitor& eras, const bool& refused)
        : m_io(io)
        , m_world(world)
        , m_eras(eras)
        , m_refused(refused)
    {
    }

    awaitable<Result<StoreRange>> range(std::string, std::string, ReadConsistency) override
    {
        co_await pause(m_world.delay(5));
        if (isUnavailable())
            co_return unavailable();
        StoreRange range = m_world.store.range();
        StoreEra era = m_world.store.era();
        co_await pause(m_world.delay(20));
        if (!m_eras.observe(era))
            co_return unavailable();
        co_return range;
    }
    awaitable<Error> watch(std::string, std::string, Revision start, Duration idleTimeout,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> keepWatching) override
    {
        Revision seen(start.value() - 1);
        TimePoint respondBy = bootTimeNow() + idleTimeout;
        while (keepWatching()) {
            if (isUnavailable())
                co_return unavailable();
            bool hasHistory = m_world.store.hasHistoryAfter(seen);
            StoreEra era = m_world.store.era();
            WatchBatch batch = m_world.store.changesAfter(seen);
            if (hasHistory && batch.items.empty() && bootTimeNow() < respondBy) {
                co_await pause(milliseconds(2));
                continue;
            }
            co_await pause(m_world.delay(20));
            if (!m_eras.observe(era))
                co_return unavailable();
            if (!hasHistory)
                co_return Error { Errc::Conflict, "the store does not have this history" };
            seen = std::max(seen, batch.revision);
            respondBy = bootTimeNow() + idleTimeout;
            handler(batch);
        }
        co_return Error { Errc::Unavailable, "the caller has ended the watch" };
    }
    awaitable<Result<StoreItem>> read(std::string) override { co_return unavailable(); }
    awaitable<Result<TransactionResult>> transact(Transaction) override { co_return unavailable(); }
    awaitable<Result<LeaseId>> grantLease(Duration) override { co_return unavailable(); }
    awaitable<Result<Duration>> keepAlive(LeaseId) override { co_return unavailable(); }
    awaitable<Status> revokeLease(LeaseId) override { co_return unavailable(); }

private:
    static Error unavailable() { return Error { Errc::Unavailable, "the store is not available" }; }
    bool isUnavailable() const { return m_refused || m_world.store.isDown(); }
    awaitable<void> pause(Duration time)
    {
        boost::asio::steady_timer timer(m_io, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    boost::asio::io_context& m_io;
    World& m_world;
    StoreEraMonitor& m_eras;
    const bool& m_refused;
};

/// A region: some observers, and followers that rely on them. Datagrams are lost and overtake each other.
class Region {
public:
    static constexpr int entryCount = 5;

    Region(boost::asio::io_context& io, std::uint32_t seed, CatchUp catchUp)
        : m_io(io)
        , m_world(seed)
    {
        for (int i = 0; i < entryCount; ++i) {
            m_entries.push_back(std::make_unique<Entry>());
            Entry& entry = *m_entries.back();
            entry.role = i < 2 ? ViewRole::Observer : ViewRole::Follower;
            entry.follower = std::make_unique<StoreFollower>(io,
                std::make_unique<RestorableStoreClient>(io, m_world, entry.eras, entry.refused), "config/", catchUp,
                handlers(entry), EventLog::open(std::make_shared<spdlog::sinks::null_sink_mt>(), "entry"));
            boost::asio::co_spawn(
                io, [&entry] { return entry.follower->run(); }, boost::asio::detached);
        }
        boost::asio::co_spawn(
            io, [this] { return sendProgress(); }, boost::asio::detached);
    }

    /// Starts to change the store and the roles at random; ends when all copies claim to be complete.
    void start()
    {
        boost::asio::co_spawn(
            m_io, [this] { return run(); }, boost::asio::detached);
    }
    bool finished() const { return m_finished; }
    /// Differences between copies and the store, each at a time when the copy claimed to be complete.
    const std::vector<std::string>& differences() const { return m_differences; }

private:
    struct Entry {
        StoreEraMonitor eras;
        bool refused = false;
        ViewRole role = ViewRole::Follower;
        std::unique_ptr<StoreFollower> follower;
        Content content;
    };

    awaitable<void> run()
    {
        for (int i = 0; i < 250; ++i) {
            disturb();
            co_await pause(m_world.delay(12));
        }
        m_world.store.setDown(false);
        m_world.lossRate = 0;
        for (auto& entry : m_entries)
            entry->refused = false;
        m_world.store.put("config/last");
        while (!std::all_of(m_entries.begin(), m_entries.end(), [this](const auto& each) { return isComplete(*each); }))
            co_await pause(milliseconds(10));
        // Datagrams that are still under way must not undo anything.
        co_await pause(milliseconds(100));
        for (auto& entry : m_entries)
            check(*entry);
        m_finished = true;
    }

    awaitable<void> pause(Duration time)
    {
        boost::asio::steady_timer timer(m_io, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    void disturb()
    {
        std::string key = "config/" + std::to_string(m_world.number(0, 5));
        RestorableStore& store = m_world.store;
        int kind = m_world.number(0, 99);
        if (kind < 40)
            store.put(key);
        else if (kind < 65)
            store.remove(key);
        else if (kind < 75)
            store.passRevisions(m_world.number(1, 20));
        else if (kind < 80)
            store.setDown(!store.isDown());
        else if (kind < 84)
            store.restore(static_cast<std::size_t>(m_world.number(0, 12)));
        else if (kind < 86)
            store.compact();
        else if (kind < 93)
            entry().refused = !entry().refused;
        else
            std::swap(entry().role, entry().role);
    }

    Entry& entry() { return *m_entries[static_cast<std::size_t>(m_world.number(0, entryCount - 1))]; }

    bool isComplete(const Entry& entry) const
    {
        return entry.follower->progress(bootTimeNow()).revision >= m_world.store.lastChange();
    }
    void check(const Entry& entry)
    {
        if (!entry.follower || !isComplete(entry) || entry.content == m_world.store.content())
            return;
        std::string text = "revision " + std::to_string(numberInEra(m_world.store.revision())) + ":";
        Content content = m_world.store.content();
        for (const auto& [key, value] : entry.content)
            text += " has " + key + " = " + value.substr(0, value.find(','));
        for (const auto& [key, value] : content)
            text += " should have " + key + " = " + value.substr(0, value.find(','));
        m_differences.push_back(std::move(text));
    }

    /// Delivers a datagram to all other entries.
    void send(const Entry& sender, std::function<void(StoreFollower&)> receive)
    {
        for (auto& entry : m_entries) {
            if (entry.get() == &sender || m_world.chance(m_world.lossRate))
                continue;
            auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_world.delay(30));
            timer->async_wait([timer, receive, follower = entry->follower.get()](
                                  const boost::system::error_code&) { receive(*follower); });
        }
    }

    awaitable<void> sendProgress()
    {
        while (!m_finished) {
            co_await pause(milliseconds(50));
            for (auto& entry : m_entries) {
                ViewProgress progress = entry->follower->progress(bootTimeNow());
                if (entry->role != ViewRole::Observer || progress.revision == Revision(0))
                    continue;
                send(*entry, [progress](StoreFollower& each) { each.applyProgress(progress, bootTimeNow()); });
            }
        }
    }

    StoreFollower::Handlers handlers(Entry& entry)
    {
        StoreFollower::Handlers handlers;
        handlers.snapshot = [this, &entry](const StoreRange& range, const ChangeOrigin&, TimePoint) {
            entry.content.clear();
            apply(entry, range.items);
        };
        handlers.changes
            = [this, &entry](const WatchBatch& batch, const ChangeOrigin&, TimePoint) { apply(entry, batch.items); };
        handlers.role = [&entry] { return entry.role; };
        handlers.relayChanges = [this, &entry](Revision from, const WatchBatch& batch, const StoreValues& former) {
            for (const RelayedChange& change : splitChanges(StoreView::Configuration, from, batch, former)) {
                std::string text = std::visit([](const auto& each) { return encodePeerMessage(each); }, change);
                send(entry, [text](StoreFollower& each) { receive(text, each); });
            }
        };
        handlers.readStarted = [](ReadCause) {};
        handlers.supersededReceived = [](std::size_t) {};
        return handlers;
    }

    static void receive(const std::string& text, StoreFollower& follower)
    {
        auto message = decodePeerMessage(text).value();
        if (auto* changes = std::get_if<ViewChanges>(&message))
            follower.applyRelayed(*changes, bootTimeNow());
        else
            follower.applyRelayed(std::get<ViewDelta>(message), bootTimeNow());
    }

    void apply(Entry& entry, const std::vector<StoreItem>& items)
    {
        for (const StoreItem& item : items) {
            if (item.value.empty())
                entry.content.erase(item.key);
            else
                entry.content[item.key] = item.value;
        }
        check(entry);
    }

    boost::asio::io_context& m_io;
    World m_world;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::string> m_differences;
    bool m_finished = false;
};

constexpr std::uint32_t regions = 40;

const CatchUp catchUps[] = { CatchUp::History, CatchUp::CurrentState };

} // namespace

namespace wisteriayard {

static std::ostream& operator<<(std::ostream& out, CatchUp catchUp)
{
    return out << (catchUp == CatchUp::History ? "history" : "current_state");
}

} // namespace wisteriayard

// Guards against a copy that claims to be complete and lacks a change or has one of an earlier era: the store is
// restored from older copies, goes away and loses its history, while observers change and datagrams are lost and
// reordered.
BOOST_DATA_TEST_CASE(copies_that_claim_to_be_complete_are_right, data::make(catchUps), catchUp)
{
    boost::asio::io_context io;
    std::vector<std::unique_ptr<Region>> all;
    for (std::uint32_t seed = 0; seed < regions; ++seed) {
        all.push_back(std::make_unique<Region>(io, seed, catchUp));
        all.back()->start();
    }
    while (!std::all_of(all.begin(), all.end(), [](const auto& each) { return each->finished(); }))
        io.run_one();
    for (std::uint32_t seed = 0; seed < regions; ++seed) {
        const auto& differences = all[seed]->differences();
        BOOST_TEST(differences.empty(),
            "seed " << seed << ": " << differences.size() << " differences, first at "
                    << (differences.empty() ? "" : differences.front()));
    }
}
