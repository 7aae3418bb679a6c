#include "usage_store.h"

#include "store_json.h"

#include <charconv>
#include <cstdio>

namespace wisteriayard {

using boost::asio::awaitable;

namespace {

    /// Window number with a fixed width, so that keys sort by window.
    std::string windowText(WindowId window)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%015lld", static_cast<long long>(window.value()));
        return text;
    }

    Result<std::int64_t> parseNumber(std::string_view text)
    {
        std::int64_t value = 0;
        auto result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            return fail(Errc::Protocol, "store: \"" + std::string(text.substr(0, 40)) + "\" is not a number");
        return value;
    }

    Result<WindowId> parseWindow(std::string_view text)
    {
        BOOST_OUTCOME_TRY(auto value, parseNumber(text));
        return WindowId(value);
    }

    /// Value of a key that holds a number.
    struct NumberMark {
        std::optional<std::int64_t> value;
        Revision revision;
    };

    awaitable<Result<NumberMark>> readNumber(StoreClient& store, std::string_view key)
    {
        auto item = co_await store.read(std::string(key));
        NumberMark mark;
        if (!item && item.error().code == Errc::NotFound)
            co_return mark;
        if (!item)
            co_return item.error();
        auto value = parseNumber(item.value().value);
        if (!value)
            co_return value.error();
        mark.value = value.value();
        mark.revision = item.value().modRevision;
        co_return mark;
    }

    Transaction windowStateTransaction(WindowId window)
    {
        Transaction transaction;
        transaction.onSuccess.emplace_back(ReadOperation { finalUsageRecordKey(window) });
        transaction.onSuccess.emplace_back(ReadOperation { std::string(usageClosedKey) });
        return transaction;
    }

} // namespace

std::string partialUsageWindowPrefix(WindowId window)
{
    return std::string(partialUsageRecordsPrefix) + windowText(window) + "/";
}
std::string partialUsageRecordKey(WindowId window, const IncarnationId& entry)
{
    return partialUsageWindowPrefix(window) + entry.value();
}
std::string finalUsageRecordKey(WindowId window) { return "usage/final/" + windowText(window); }

awaitable<Result<WindowMark>> readWindowMark(StoreClient& store, std::string_view key)
{
    auto number = co_await readNumber(store, key);
    if (!number)
        co_return number.error();
    WindowMark mark;
    if (number.value().value)
        mark.window = WindowId(*number.value().value);
    mark.revision = number.value().revision;
    co_return mark;
}

awaitable<Result<EraMark>> readEraMark(StoreClient& store, std::string_view key)
{
    auto number = co_await readNumber(store, key);
    if (!number)
        co_return number.error();
    EraMark mark;
    if (number.value().value)
        mark.era = StoreEra(*number.value().value);
    mark.revision = number.value().revision;
    co_return mark;
}

awaitable<Result<WindowState>> readWindowState(StoreClient& store, WindowId window)
{
    auto result = co_await store.transact(windowStateTransaction(window));
    if (!result)
        co_return result.error();
    WindowState state;
    for (const StoreItem& item : result.value().items) {
        if (item.key == usageClosedKey) {
            auto closed = parseWindow(item.value);
            if (!closed)
                co_return closed.error();
            state.closed = window <= closed.value();
            continue;
        }
        auto final = parseFinalUsageRecord(item.value);
        if (!final)
            co_return final.error();
        state.final = std::move(final.value());
    }
    co_return state;
}

awaitable<Result<std::map<IncarnationId, PartialUsageRecord>>> readPartialUsageRecords(
    StoreClient& store, WindowId window)
{
    std::string prefix = partialUsageWindowPrefix(window);
    auto range = co_await store.range(prefix, prefixEnd(prefix));
    if (!range)
        co_return range.error();
    std::map<IncarnationId, PartialUsageRecord> records;
    for (const StoreItem& item : range.value().items) {
        auto record = parsePartialUsageRecord(item.value);
        if (!record)
            co_return record.error();
        records[IncarnationId(item.key.substr(prefix.size()))] = std::move(record.value());
    }
    co_return records;
}

awaitable<Result<std::optional<WindowId>>> oldestPartialRecordWindow(StoreClient& store)
{
    std::string prefix(partialUsageRecordsPrefix);
    auto range = co_await store.range(prefix, prefixEnd(prefix));
    if (!range)
        co_return range.error();
    std::optional<WindowId> oldest;
    if (range.value().items.empty())
        co_return oldest;
    std::string_view rest = std::string_view(range.value().items.front().key).substr(prefix.size());
    auto window = parseWindow(rest.substr(0, rest.find('/')));
    if (!window)
        co_return window.error();
    oldest = window.value();
    co_return oldest;
}

Transaction partialRecordsTransaction(WindowId window, const std::map<IncarnationId, PartialUsageRecord>& records)
{
    Transaction transaction;
    transaction.compares.emplace_back(CompareModRevision { finalUsageRecordKey(window), Revision(0) });
    for (const auto& [entry, record] : records)
        transaction.onSuccess.emplace_back(
            PutOperation { partialUsageRecordKey(window, entry), partialUsageRecordJson(record), LeaseId() });
    return transaction;
}

std::vector<Transaction> deleteTransactions(const std::vector<StoreItem>& items, const Compare& condition)
{
    std::vector<Transaction> transactions;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (i % keysPerTransaction == 0)
            transactions.emplace_back().compares.push_back(condition);
        transactions.back().onSuccess.emplace_back(DeleteOperation { items[i].key });
    }
    return transactions;
}

} // namespace wisteriayard
