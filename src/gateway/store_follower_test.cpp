#define BOOST_TEST_MODULE store_follower
#include "store_follower.h"

#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <spdlog/sinks/null_sink.h>

#include <algorithm>

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
    { "changed_between_two_pages", { "a", "b" }, { { "a", 3 }, { "b", 31 } }, {} },
};

using boost::asio::awaitable;

/// A store with one large key that is overwritten. Like the platform's store, a watch returns each version of the key,
/// a few in one response.
class OverwritingStore {
public:
    static constexpr std::size_t versionsPerResponse = 4;

    OverwritingStore()
    {
        for (int i = 0; i < 20000; ++i)
            m_filler += std::to_string(i) + ',';
        write();
    }
    void write()
    {
        ++m_revision;
        std::string value = "version " + std::to_string(m_revision) + m_filler;
        m_versions.push_back({ "config/routes", std::move(value), Revision(m_revision), firstRevision });
    }
    StoreRange current()
    {
        ++m_valuesRead;
        return { { m_versions.back() }, Revision(m_revision) };
    }
    WatchBatch changesAfter(Revision seen)
    {
        WatchBatch batch { Revision(m_revision), {} };
        for (const StoreItem& version : m_versions) {
            if (version.modRevision > seen && batch.items.size() < versionsPerResponse)
                batch.items.push_back(version);
        }
        batch.mayBePartial = batch.items.size() == versionsPerResponse;
        if (batch.mayBePartial)
            batch.revision = batch.items.back().modRevision;
        m_valuesRead += batch.items.size();
        return batch;
    }

    Revision revision() const { return Revision(m_revision); }
    const std::string& value() const { return m_versions.back().value; }
    /// Number of values in all responses since the last call.
    std::size_t takeValuesRead() { return std::exchange(m_valuesRead, 0); }
    /// Timeout of the last watch.
    Duration watchTimeout() const { return m_watchTimeout; }
    void setWatchTimeout(Duration timeout) { m_watchTimeout = timeout; }
    bool isDown() const { return m_down; }
    void setDown(bool down) { m_down = down; }

private:
    static constexpr Revision firstRevision { 10 };

    std::int64_t m_revision = firstRevision.value();
    std::string m_filler;
    std::vector<StoreItem> m_versions;
    std::size_t m_valuesRead = 0;
    Duration m_watchTimeout {};
    bool m_down = false;
};

/// Client of an OverwritingStore in the same process; provides only what a copy needs.
class OverwritingStoreClient : public StoreClient {
public:
    OverwritingStoreClient(boost::asio::io_context& io, OverwritingStore& store)
        : m_io(io)
        , m_store(store)
    {
    }

    awaitable<Result<StoreRange>> range(std::string, std::string, ReadConsistency) override
    {
        if (m_store.isDown())
            co_return fail(Errc::Unavailable, "the store is down");
        co_return m_store.current();
    }
    awaitable<Error> watch(std::string, std::string, Revision start, Duration idleTimeout,
        std::function<void(const WatchBatch&)> handler, std::function<bool()> keepWatching) override
    {
        boost::asio::steady_timer timer(m_io);
        m_store.setWatchTimeout(idleTimeout);
        Revision seen(start.value() - 1);
        TimePoint respondBy = bootTimeNow() + idleTimeout;
        while (keepWatching()) {
            if (m_store.isDown())
                co_return Error { Errc::Unavailable, "the store is down" };
            if (m_store.revision() > seen || bootTimeNow() >= respondBy) {
                WatchBatch batch = m_store.changesAfter(seen);
                seen = std::max(seen, batch.revision);
                respondBy = bootTimeNow() + idleTimeout;
                handler(batch);
            }
            timer.expires_after(std::chrono::milliseconds(1));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_return Error { Errc::Unavailable, "the caller has ended the watch" };
    }
    awaitable<Result<StoreItem>> read(std::string) override { co_return unsupported(); }
    awaitable<Result<TransactionResult>> transact(Transaction) override { co_return unsupported(); }
    awaitable<Result<LeaseId>> grantLease(Duration) override { co_return unsupported(); }
    awaitable<Result<Duration>> keepAlive(LeaseId) override { co_return unsupported(); }
    awaitable<Status> revokeLease(LeaseId) override { co_return unsupported(); }

private:
    static Error unsupported() { return Error { Errc::InvalidArgument, "not provided by this store" }; }

    boost::asio::io_context& m_io;
    OverwritingStore& m_store;
};

/// An entry's copy of the overwritten key.
class Entry {
public:
    explicit Entry(OverwritingStore& store, ViewRole role, CatchUp catchUp = CatchUp::CurrentState)
        : m_store(store)
        , m_follower(m_io, std::make_unique<OverwritingStoreClient>(m_io, store), "config/", catchUp, handlers(role),
              EventLog::open(std::make_shared<spdlog::sinks::null_sink_mt>(), "entry"))
    {
        boost::asio::co_spawn(
            m_io, [this] { return m_follower.run(); }, boost::asio::detached);
        runUntilCurrent();
        (void)store.takeValuesRead();
        applied.clear();
        confirmations.clear();
    }

    void runUntilCurrent()
    {
        while (m_follower.progress(bootTimeNow()).revision < m_store.revision())
            m_io.run_one();
    }
    void runFor(Duration time)
    {
        boost::asio::steady_timer timer(m_io, time);
        bool isOver = false;
        timer.async_wait([&isOver](const boost::system::error_code&) { isOver = true; });
        while (!isOver)
            m_io.run_one();
    }
    /// Receives a change as a datagram.
    void receive(const RelayedChange& change)
    {
        auto apply = [this](const auto& each) {
            auto decoded = decodePeerMessage(encodePeerMessage(each)).value();
            m_follower.applyRelayed(std::get<std::decay_t<decltype(each)>>(decoded), bootTimeNow());
        };
        std::visit(apply, change);
    }

    /// Revisions of the versions that took effect.
    std::vector<std::int64_t> applied;
    /// Value in force.
    std::string value;
    /// For each batch of changes, the time as of which the copy was then known to be complete.
    std::vector<TimePoint> confirmations;
    /// Changes relayed to other entries.
    std::vector<RelayedChange> relayed;

private:
    void apply(const std::vector<StoreItem>& items)
    {
        for (const StoreItem& item : items) {
            applied.push_back(item.modRevision.value());
            value = item.value;
        }
    }
    StoreFollower::Handlers handlers(ViewRole role)
    {
        StoreFollower::Handlers handlers;
        handlers.snapshot = [this](const StoreRange& range, const ChangeOrigin&, TimePoint) { apply(range.items); };
        handlers.changes = [this](const WatchBatch& batch, const ChangeOrigin&, TimePoint confirmedAt) {
            apply(batch.items);
            confirmations.push_back(confirmedAt);
        };
        handlers.role = [role] { return role; };
        handlers.relayChanges = [this](Revision from, const WatchBatch& batch, const StoreValues& former) {
            for (RelayedChange& change : splitChanges(StoreView::Configuration, from, batch, former))
                relayed.push_back(std::move(change));
        };
        handlers.readStarted = [](ReadCause) {};
        handlers.supersededReceived = [](std::size_t) {};
        return handlers;
    }

    OverwritingStore& m_store;
    boost::asio::io_context m_io;
    StoreFollower m_follower;
};

/// Within this time a copy notices that the store refuses its calls.
constexpr Duration timeToLoseContact = std::chrono::milliseconds(100);

enum class Miss {
    /// The store refused this entry while the versions were written.
    StoreRefused,
    /// The datagrams that relayed them were lost.
    RelaysLost,
};

struct MissedCase {
    const char* name;
    ViewRole role;
    Miss miss;
    int versions;
};
std::ostream& operator<<(std::ostream& out, const MissedCase& each) { return out << each.name << ' ' << each.versions; }

const MissedCase missedCases[] = {
    { "alone_after_refusals", ViewRole::Alone, Miss::StoreRefused, 3 },
    { "alone_after_refusals", ViewRole::Alone, Miss::StoreRefused, 40 },
    { "observer_after_refusals", ViewRole::Observer, Miss::StoreRefused, 40 },
    { "follower_after_lost_relays", ViewRole::Follower, Miss::RelaysLost, 3 },
    { "follower_after_lost_relays", ViewRole::Follower, Miss::RelaysLost, 40 },
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

// Guards against an entry that reads and applies every version of the configuration that it missed: that takes longer
// the more it missed, so an entry that was cut off stays behind for as long as changes go on.
BOOST_DATA_TEST_CASE(missed_versions_are_not_replayed, data::make(missedCases), each)
{
    OverwritingStore store;
    Entry entry(store, each.role);
    bool refused = each.miss == Miss::StoreRefused;
    store.setDown(refused);
    if (refused)
        entry.runFor(timeToLoseContact);
    for (int i = 0; i < each.versions; ++i)
        store.write();
    store.setDown(false);
    Revision beforeLast(store.revision().value() - 1);
    if (!refused)
        entry.receive(ViewChanges { StoreView::Configuration, beforeLast, store.revision(), {} });
    entry.runUntilCurrent();
    BOOST_TEST(
        entry.applied == std::vector<std::int64_t> { store.revision().value() }, boost::test_tools::per_element());
    BOOST_TEST((entry.value == store.value()));
    BOOST_TEST(store.takeValuesRead() == 1u);
}

struct CatchUpCase {
    const char* name;
    CatchUp catchUp;
};
std::ostream& operator<<(std::ostream& out, const CatchUpCase& each) { return out << each.name; }

const CatchUpCase catchUpCases[] = {
    { "history", CatchUp::History },
    { "current_state", CatchUp::CurrentState },
};

// Guards against an entry that reports its copy as current while it works through the history: its followers would stay
// on old copies. Afterwards the copy must count as current again.
BOOST_DATA_TEST_CASE(part_of_the_history_confirms_nothing, data::make(catchUpCases), each)
{
    OverwritingStore store;
    Entry entry(store, ViewRole::Alone, each.catchUp);
    store.setDown(true);
    entry.runFor(timeToLoseContact);
    constexpr int missed = 10;
    for (int i = 0; i < missed; ++i)
        store.write();
    store.setDown(false);
    TimePoint restored = bootTimeNow();
    entry.runUntilCurrent();
    BOOST_REQUIRE(!entry.confirmations.empty());
    BOOST_TEST((entry.confirmations.back() >= restored));
    for (std::size_t i = 0; i + 1 < entry.confirmations.size(); ++i)
        BOOST_TEST((entry.confirmations[i] < restored));
}

struct RelayCase {
    const char* name;
    /// Indices of relayed changes that reach the follower, in order: observer a relays each of three versions (0 to 2),
    /// observer b only the last (3).
    std::vector<std::size_t> received;
    std::size_t valuesRead;
};
std::ostream& operator<<(std::ostream& out, const RelayCase& each) { return out << each.name; }

const RelayCase relayCases[] = {
    { "one_observer", { 0, 1, 2 }, 0 },
    { "each_twice", { 0, 0, 1, 1, 2, 2 }, 0 },
    { "observer_that_groups_versions_first", { 3, 0, 1, 2 }, 0 },
    { "observer_that_groups_versions_in_between", { 0, 3, 1, 2 }, 0 },
    { "first_lost", { 1, 2 }, 1 },
    { "last_out_of_order", { 0, 2, 1 }, 1 },
};

// Guards against followers that read a large value from the store for each change of a few bytes: over a narrow link
// between regions that takes seconds with many entries. A difference that can't be applied must not alter the copy.
BOOST_DATA_TEST_CASE(differences_keep_followers_current, data::make(relayCases), each)
{
    OverwritingStore store;
    Entry a(store, ViewRole::Observer);
    Entry b(store, ViewRole::Observer);
    Entry follower(store, ViewRole::Follower);
    constexpr int versions = 3;
    for (int i = 0; i < versions; ++i) {
        store.write();
        a.runUntilCurrent();
    }
    // Observer b was refused meanwhile and reads the present value only.
    b.receive(ViewChanges { StoreView::Configuration, store.revision(), store.revision(), {} });
    b.runUntilCurrent();
    std::vector<RelayedChange> relayed = a.relayed;
    relayed.insert(relayed.end(), b.relayed.begin(), b.relayed.end());
    BOOST_REQUIRE(relayed.size() == versions + 1u);
    (void)store.takeValuesRead();
    for (std::size_t index : each.received)
        follower.receive(relayed[index]);
    follower.runUntilCurrent();
    BOOST_TEST((follower.value == store.value()));
    BOOST_TEST(store.takeValuesRead() == each.valuesRead);
    BOOST_TEST(std::is_sorted(follower.applied.begin(), follower.applied.end()));
}

struct WatchCase {
    const char* name;
    ViewRole role;
};
std::ostream& operator<<(std::ostream& out, const WatchCase& each) { return out << each.name; }

const WatchCase watchCases[] = { { "alone", ViewRole::Alone }, { "observer", ViewRole::Observer } };

// Guards against a watch that hangs since a short disturbance of the store for longer than the 3 s after which changes
// must be in force again: its timeout, the adapter's margin of 0.7 s and the retry after 0.25 s must fit into that
// time.
BOOST_DATA_TEST_CASE(hung_watch_ends_in_time, data::make(watchCases), each)
{
    OverwritingStore store;
    Entry entry(store, each.role);
    entry.runFor(timeToLoseContact);
    constexpr Duration allowed = std::chrono::milliseconds(3000 - 700 - 250);
    BOOST_TEST((store.watchTimeout() > Duration(0)));
    BOOST_TEST((store.watchTimeout() < allowed));
}

// Guards against an entry that reads a large value once more after each response with several versions of it, although
// the response was complete: changes in quick succession would cost it half as many bytes again.
BOOST_AUTO_TEST_CASE(complete_response_is_not_read_again)
{
    OverwritingStore store;
    Entry entry(store, ViewRole::Observer);
    entry.runFor(timeToLoseContact);
    store.write();
    store.write();
    entry.runUntilCurrent();
    entry.runFor(timeToLoseContact);
    BOOST_TEST(
        entry.applied == std::vector<std::int64_t> { store.revision().value() }, boost::test_tools::per_element());
    BOOST_TEST(store.takeValuesRead() == 2u);
}
