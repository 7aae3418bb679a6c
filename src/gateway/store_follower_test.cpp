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
};

using boost::asio::awaitable;

/// A store with one key that is overwritten. Like the platform's store, a watch returns each version of the key, a few
/// in one response.
class OverwritingStore {
public:
    static constexpr std::size_t versionsPerResponse = 4;

    void write()
    {
        ++m_revision;
        m_versions.push_back(
            { "op/config", "version " + std::to_string(m_revision), Revision(m_revision), firstRevision });
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
    /// Number of values in all responses since the last call.
    std::size_t takeValuesRead() { return std::exchange(m_valuesRead, 0); }
    bool isDown() const { return m_down; }
    void setDown(bool down) { m_down = down; }

private:
    static constexpr Revision firstRevision { 10 };

    std::int64_t m_revision = firstRevision.value();
    std::vector<StoreItem> m_versions;
    std::size_t m_valuesRead = 0;
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
    explicit Entry(ViewRole role, CatchUp catchUp = CatchUp::CurrentState)
        : m_follower(m_io, std::make_unique<OverwritingStoreClient>(m_io, store), "op/", catchUp, handlers(role),
            EventLog::open(std::make_shared<spdlog::sinks::null_sink_mt>(), "entry"))
    {
        store.write();
        boost::asio::co_spawn(
            m_io, [this] { return m_follower.run(); }, boost::asio::detached);
        runUntilCurrent();
        (void)store.takeValuesRead();
        applied.clear();
        confirmations.clear();
    }

    void runUntilCurrent()
    {
        while (m_follower.progress(bootTimeNow()).revision < store.revision())
            m_io.run_one();
    }
    /// Runs until the copy has noticed that it lost contact with the store.
    void runUntilContactLost()
    {
        boost::asio::steady_timer timer(m_io, std::chrono::milliseconds(100));
        bool isOver = false;
        timer.async_wait([&isOver](const boost::system::error_code&) { isOver = true; });
        while (!isOver)
            m_io.run_one();
    }
    /// An observer relays the change to the newest version, but not those before it.
    void receiveLastChange()
    {
        Revision before(store.revision().value() - 1);
        m_follower.applyRelayedChanges({ StoreView::Configuration, before, store.revision(), {} }, bootTimeNow());
    }

    OverwritingStore store;
    /// Revisions of the versions that took effect.
    std::vector<std::int64_t> applied;
    /// For each batch of changes, the time as of which the copy was then known to be complete.
    std::vector<TimePoint> confirmations;

private:
    StoreFollower::Handlers handlers(ViewRole role)
    {
        StoreFollower::Handlers handlers;
        auto apply = [this](const std::vector<StoreItem>& items) {
            for (const StoreItem& item : items)
                applied.push_back(item.modRevision.value());
        };
        handlers.snapshot = [apply](const StoreRange& range, const ChangeOrigin&, TimePoint) { apply(range.items); };
        handlers.changes = [this, apply](const WatchBatch& batch, const ChangeOrigin&, TimePoint confirmedAt) {
            apply(batch.items);
            confirmations.push_back(confirmedAt);
        };
        handlers.role = [role] { return role; };
        handlers.relayChanges = [](Revision, const WatchBatch&) {};
        handlers.readStarted = [](ReadCause) {};
        handlers.supersededReceived = [](std::size_t) {};
        return handlers;
    }

    boost::asio::io_context m_io;
    StoreFollower m_follower;
};

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
    Entry entry(each.role);
    bool refused = each.miss == Miss::StoreRefused;
    entry.store.setDown(refused);
    if (refused)
        entry.runUntilContactLost();
    for (int i = 0; i < each.versions; ++i)
        entry.store.write();
    entry.store.setDown(false);
    if (!refused)
        entry.receiveLastChange();
    entry.runUntilCurrent();
    BOOST_TEST(entry.applied == std::vector<std::int64_t> { entry.store.revision().value() },
        boost::test_tools::per_element());
    BOOST_TEST(entry.store.takeValuesRead() == 1u);
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
    Entry entry(ViewRole::Alone, each.catchUp);
    entry.store.setDown(true);
    entry.runUntilContactLost();
    constexpr int missed = 10;
    for (int i = 0; i < missed; ++i)
        entry.store.write();
    entry.store.setDown(false);
    TimePoint restored = bootTimeNow();
    entry.runUntilCurrent();
    BOOST_REQUIRE(!entry.confirmations.empty());
    BOOST_TEST((entry.confirmations.back() >= restored));
    for (std::size_t i = 0; i + 1 < entry.confirmations.size(); ++i)
        BOOST_TEST((entry.confirmations[i] < restored));
}
