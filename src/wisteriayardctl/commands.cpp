#include "commands.h"

#include "address.h"
#include "clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace wisteriayard::ctl {

namespace http = boost::beast::http;

namespace {

    constexpr Duration confirmPoll = std::chrono::milliseconds(20);
    constexpr Duration entryTimeout = std::chrono::seconds(2);
    constexpr Bytes maxStatus { 16 * 1024 * 1024 };
    constexpr int maxReadBacks = 20;
    constexpr Duration readBackPause = std::chrono::milliseconds(250);

    using CommandFunction = Command (*)(Context&, const Arguments&);

    const std::map<std::string, CommandFunction>& commands()
    {
        static const std::map<std::string, CommandFunction> table {
            { "contract check", contractCheck },
            { "contract put", contractPut },
            { "contract get", contractGet },
            { "contract list", contractList },
            { "key issue", keyIssue },
            { "key withdraw", keyWithdraw },
            { "key list", keyList },
            { "status", status },
        };
        return table;
    }

    /// Whether an entry's view holds a revision.
    boost::asio::awaitable<bool> confirms(
        Context& context, const boost::asio::ip::tcp::endpoint& entry, Revision revision)
    {
        HttpConnection connection(context.io.get_executor(), entry, maxStatus);
        auto response = co_await connection.exchange(makeHttpRequest(http::verb::get, "/status"), entryTimeout);
        if (!response)
            co_return false;
        auto json = nlohmann::json::parse(response.value().body(), nullptr, false);
        co_return json.is_object() && json.value("view_revision", std::int64_t(0)) >= revision.value();
    }

    boost::asio::awaitable<void> sleepFor(Context& context, Duration time)
    {
        boost::asio::steady_timer timer(context.io, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

} // namespace

Command runCommand(Context& context, Arguments arguments)
{
    for (std::size_t length : { std::size_t(2), std::size_t(1) }) {
        if (arguments.words.size() < length)
            continue;
        std::string name = arguments.words[0];
        if (length == 2)
            name += " " + arguments.words[1];
        auto it = commands().find(name);
        if (it == commands().end())
            continue;
        arguments.words.erase(arguments.words.begin(), arguments.words.begin() + static_cast<std::ptrdiff_t>(length));
        co_return co_await it->second(context, arguments);
    }
    std::string known;
    for (const auto& [name, function] : commands())
        known += (known.empty() ? "" : ", ") + name;
    co_return fail(Errc::InvalidArgument, "no such command; expected one of: " + known);
}

boost::asio::awaitable<Result<Revision>> writeIfUnchanged(
    StoreClient& store, std::string key, std::string value, Revision expected)
{
    Transaction transaction;
    transaction.compares.push_back(CompareModRevision { key, expected });
    transaction.onSuccess.push_back(PutOperation { key, value, {} });
    transaction.onFailure.push_back(ReadOperation { key });
    auto result = co_await store.transact(transaction);
    if (result && result.value().succeeded)
        co_return result.value().revision;
    if (!result && result.error().code == Errc::Unavailable)
        co_return result.error();
    // The write lost a race, or its answer was lost: what the key holds now decides.
    auto present = co_await store.read(key);
    for (int i = 0; i < maxReadBacks && !present && present.error().code != Errc::NotFound; ++i) {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, readBackPause);
        co_await timer.async_wait(boost::asio::use_awaitable);
        present = co_await store.read(key);
    }
    if (!present && present.error().code != Errc::NotFound)
        co_return fail(Errc::Timeout, "whether the write took effect is not known yet: " + present.error().message);
    bool ours = present && present.value().value == value && present.value().modRevision > expected;
    if (!result && ours)
        co_return present.value().modRevision;
    Revision revision = present ? present.value().modRevision : Revision(0);
    if (!result && revision == expected)
        co_return fail(Errc::Unavailable, "the write did not take effect: " + result.error().message);
    co_return fail(Errc::Conflict,
        key + " is at revision " + std::to_string(revision.value()) + ", not " + std::to_string(expected.value()));
}

boost::asio::awaitable<std::vector<std::string>> unconfirmedEntries(Context& context, Revision revision, Duration wait)
{
    TimePoint deadline = bootTimeNow() + wait;
    std::vector<boost::asio::ip::tcp::endpoint> pending = context.entries;
    while (true) {
        std::vector<boost::asio::ip::tcp::endpoint> still;
        for (const auto& entry : pending) {
            bool confirmed = co_await confirms(context, entry, revision);
            if (!confirmed)
                still.push_back(entry);
        }
        pending = std::move(still);
        if (pending.empty() || bootTimeNow() >= deadline)
            break;
        co_await sleepFor(context, confirmPoll);
    }
    std::vector<std::string> names;
    for (const auto& entry : pending)
        names.push_back(formatAddress(entry));
    co_return names;
}

} // namespace wisteriayard::ctl
