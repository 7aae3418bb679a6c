#include "commands.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wisteriayard::ctl {

namespace {

    /// Limits the wait for an unresponsive store to less than a minute, at its call timeout of 5 s.
    constexpr int maxTries = 8;
    constexpr Duration retryInterval = std::chrono::milliseconds(250);

    Transaction makeTransaction(const ConditionalWrite& write)
    {
        Transaction transaction;
        transaction.compares.push_back(CompareModRevision { write.key, write.expected });
        transaction.onSuccess.push_back(PutOperation { write.key, write.value, {} });
        transaction.onSuccess.insert(
            transaction.onSuccess.end(), write.additionalOperations.begin(), write.additionalOperations.end());
        transaction.onFailure.push_back(ReadOperation { write.key });
        return transaction;
    }

    WriteOutcome makeOutcome(
        const ConditionalWrite& write, const TransactionResult& result, bool earlierTryIndeterminate)
    {
        WriteOutcome outcome;
        outcome.earlierTryIndeterminate = earlierTryIndeterminate;
        if (result.succeeded) {
            outcome.written = true;
            outcome.revision = result.revision;
        } else if (!result.items.empty()) {
            const StoreItem& item = result.items.front();
            outcome.revision = item.modRevision;
            outcome.currentValue = item.value;
            outcome.written = earlierTryIndeterminate && item.value == write.value && item.modRevision > write.expected;
        }
        return outcome;
    }

} // namespace

boost::asio::awaitable<Result<WriteOutcome>> writeIfUnchanged(StoreClient& store, ConditionalWrite write)
{
    Transaction transaction = makeTransaction(write);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    bool earlierTryIndeterminate = false;
    std::string lastError;
    for (int i = 0; i < maxTries; ++i) {
        auto result = co_await store.transact(transaction);
        if (result)
            co_return makeOutcome(write, result.value(), earlierTryIndeterminate);
        lastError = result.error().message;
        if (result.error().code == Errc::Unavailable && !earlierTryIndeterminate)
            co_return fail(Errc::Unavailable, "nothing was written: " + lastError);
        earlierTryIndeterminate = true;
        timer.expires_after(retryInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return fail(Errc::Timeout,
        "the store did not answer, and the write may have taken effect or may still do so; check " + write.key
            + " before trying again: " + lastError);
}

} // namespace wisteriayard::ctl
