#include "address.h"
#include "clock.h"
#include "commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <memory>

namespace wisteriayard::ctl {

namespace http = boost::beast::http;

namespace {

    using Json = nlohmann::json;
    using Address = boost::asio::ip::tcp::endpoint;

    constexpr Duration confirmPoll = std::chrono::milliseconds(20);
    constexpr Duration entryTimeout = std::chrono::seconds(2);
    constexpr Duration answerPoll = std::chrono::milliseconds(2);
    constexpr Bytes maxAnswer { 16 * 1024 * 1024 };
    constexpr std::string_view platformName = "the platform's list";

    enum class EntryAnswer {
        Unreachable,
        Older,
        Holds,
    };

    /// An entry that is asked.
    struct AskedEntry {
        /// The platform shows it as leaving; it may have ended.
        bool leaving = false;
        EntryAnswer answer = EntryAnswer::Unreachable;
    };

    using AskedEntries = std::map<Address, AskedEntry>;

    boost::asio::awaitable<Json> getJson(Context& context, Address server, std::string path)
    {
        HttpConnection connection(context.io.get_executor(), server, maxAnswer);
        auto response = co_await connection.exchange(makeHttpRequest(http::verb::get, path), entryTimeout);
        co_return response ? Json::parse(response.value().body(), nullptr, false) : Json();
    }

    std::string textOf(const Json& item, const char* name)
    {
        auto it = item.is_object() ? item.find(name) : item.end();
        return item.is_object() && it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    /// Adds the entries on the platform's list. @return whether the list could be read
    boost::asio::awaitable<bool> addListed(Context& context, AskedEntries& entries)
    {
        Json list = co_await getJson(context, *context.platform, "/v1/instances");
        if (!list.is_object() || !list.contains("instances") || !list["instances"].is_array())
            co_return false;
        for (const Json& item : list["instances"]) {
            auto address = parseAddress(textOf(item, "admin"));
            if (textOf(item, "role") == "entry" && address)
                entries[address.value()].leaving = textOf(item, "state") == "leaving";
        }
        co_return true;
    }

    /// Asks all entries at the same time, so that one that hangs does not delay the others.
    boost::asio::awaitable<void> askAll(Context& context, AskedEntries& entries, Revision revision)
    {
        auto waiting = std::make_shared<std::size_t>(0);
        for (auto& [address, entry] : entries) {
            if (entry.answer == EntryAnswer::Holds)
                continue;
            ++*waiting;
            auto ask
                = [&context, &entry = entry, address = address, revision, waiting]() -> boost::asio::awaitable<void> {
                Json status = co_await getJson(context, address, "/status");
                if (!status.is_object())
                    entry.answer = EntryAnswer::Unreachable;
                else if (status.value("view_revision", std::int64_t(0)) >= revision.value())
                    entry.answer = EntryAnswer::Holds;
                else
                    entry.answer = EntryAnswer::Older;
                --*waiting;
            };
            boost::asio::co_spawn(context.io, ask, boost::asio::detached);
        }
        boost::asio::steady_timer timer(context.io);
        while (*waiting > 0) {
            timer.expires_after(answerPoll);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    Confirmation summarize(const AskedEntries& entries, bool listRead)
    {
        Confirmation confirmation;
        if (!listRead)
            confirmation.missing.emplace_back(platformName);
        for (const auto& [address, entry] : entries) {
            bool ended = entry.leaving && entry.answer == EntryAnswer::Unreachable;
            confirmation.asked = confirmation.asked || !ended;
            if (entry.answer != EntryAnswer::Holds && !ended)
                confirmation.missing.push_back(formatAddress(address));
        }
        return confirmation;
    }

} // namespace

boost::asio::awaitable<Confirmation> confirmEverywhere(Context& context, Revision revision, Duration wait)
{
    TimePoint deadline = bootTimeNow() + wait;
    AskedEntries entries;
    for (const Address& entry : context.entries)
        entries[entry] = {};
    boost::asio::steady_timer timer(context.io);
    while (true) {
        bool listRead = true;
        if (context.platform)
            listRead = co_await addListed(context, entries);
        co_await askAll(context, entries, revision);
        Confirmation confirmation = summarize(entries, listRead);
        if (!confirmation.asked || confirmation.missing.empty() || bootTimeNow() >= deadline)
            co_return confirmation;
        timer.expires_after(confirmPoll);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void printConfirmation(const Confirmation& confirmation)
{
    if (confirmation.inForce())
        std::cout << "in force at every live entry\n";
    if (!confirmation.asked)
        std::cout << "not confirmed: no entry was asked; name them with --entry or --platform\n";
    for (const std::string& name : confirmation.missing)
        std::cout << "not confirmed by " << name << '\n';
}

} // namespace wisteriayard::ctl
