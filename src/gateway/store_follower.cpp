#include "store_follower.h"

#include "clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard {

namespace {

    /// Pause after a failed call: short against the time in which changes must take effect, long against the store's
    /// rates when all instances retry at once.
    constexpr Duration retryPause = std::chrono::milliseconds(250);
    /// Longest time without an answer to a watch.
    constexpr Duration watchSilence = std::chrono::seconds(3);

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context& io, std::unique_ptr<StoreClient> store, std::string prefix,
    Handlers handlers, std::shared_ptr<EventLog> log)
    : m_io(io)
    , m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_handlers(std::move(handlers))
    , m_log(std::move(log))
{
}

boost::asio::awaitable<void> StoreFollower::run()
{
    boost::asio::steady_timer timer(m_io);
    while (true) {
        std::string end;
        auto range = co_await m_store->range(m_prefix, end);
        if (range) {
            noteHeard();
            m_handlers.snapshot(range.value(), bootTimeNow());
            Revision next(range.value().revision.value() + 1);
            std::function<void(const WatchBatch&)> handler = [this](const WatchBatch& batch) {
                noteHeard();
                m_handlers.changes(batch, bootTimeNow());
            };
            std::function<bool()> wanted = [] { return true; };
            Error ended = co_await m_store->watch(m_prefix, end, next, watchSilence, handler, wanted);
            noteError(ended);
            if (ended.code == Errc::Conflict)
                continue; // the history is gone: read anew at once
        } else {
            noteError(range.error());
        }
        timer.expires_after(retryPause);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void StoreFollower::noteError(const Error& error)
{
    if (m_lost)
        return;
    m_lost = true;
    m_log->write(Event::WatchEnded, { { "prefix", m_prefix }, { "error", error.message } });
}

void StoreFollower::noteHeard()
{
    if (!m_lost)
        return;
    m_lost = false;
    m_log->write(Event::WatchStarted, { { "prefix", m_prefix } });
}

} // namespace wisteriayard
