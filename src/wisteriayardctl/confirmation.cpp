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

    constexpr Duration pollInterval = std::chrono::milliseconds(20);
    constexpr Duration entryTimeout = std::chrono::seconds(2);
    constexpr Duration completionCheckInterval = std::chrono::milliseconds(2);
    constexpr Bytes maxResponseBytes { 16 * 1024 * 1024 };
    constexpr std::string_view platformListName = "the platform's list";

    enum class ConfirmationState {
        Unreachable,
        Behind,
        Confirmed,
    };

    /// An entry that is polled, and its last response.
    struct PolledEntry {
        /// The platform lists the entry as leaving, so it may have shut down.
        bool leaving = false;
        ConfirmationState state = ConfirmationState::Unreachable;
    };

    using PolledEntries = std::map<Address, PolledEntry>;

    boost::asio::awaitable<Json> getJson(Context& context, Address server, std::string path)
    {
        HttpConnection connection(context.io.get_executor(), server, maxResponseBytes);
        auto response = co_await connection.exchange(makeHttpRequest(http::verb::get, path), entryTimeout);
        co_return response ? Json::parse(response.value().body(), nullptr, false) : Json();
    }

    std::string stringField(const Json& item, const char* name)
    {
        auto it = item.is_object() ? item.find(name) : item.end();
        return item.is_object() && it != item.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    /// Adds the entries on the platform's instance list.
    /// @return whether the list could be read
    boost::asio::awaitable<bool> addListedEntries(Context& context, PolledEntries& entries)
    {
        Json list = co_await getJson(context, *context.platform, "/v1/instances");
        if (!list.is_object() || !list.contains("instances") || !list["instances"].is_array())
            co_return false;
        for (const Json& item : list["instances"]) {
            auto address = parseAddress(stringField(item, "admin"));
            if (stringField(item, "role") == "entry" && address)
                entries[address.value()].leaving = stringField(item, "state") == "leaving";
        }
        co_return true;
    }

    /// Polls all entries concurrently, so that an unresponsive one does not delay the others.
    boost::asio::awaitable<void> pollEntries(Context& context, PolledEntries& entries, Revision revision)
    {
        auto unanswered = std::make_shared<std::size_t>(0);
        for (auto& [address, entry] : entries) {
            if (entry.state == ConfirmationState::Confirmed)
                continue;
            ++*unanswered;
            auto poll = [&context, &entry = entry, address = address, revision,
                            unanswered]() -> boost::asio::awaitable<void> {
                Json status = co_await getJson(context, address, "/status");
                if (!status.is_object())
                    entry.state = ConfirmationState::Unreachable;
                else if (status.value("view_revision", std::int64_t(0)) >= revision.value())
                    entry.state = ConfirmationState::Confirmed;
                else
                    entry.state = ConfirmationState::Behind;
                --*unanswered;
            };
            boost::asio::co_spawn(context.io, poll, boost::asio::detached);
        }
        boost::asio::steady_timer timer(context.io);
        while (*unanswered > 0) {
            timer.expires_after(completionCheckInterval);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    Confirmation summarize(const PolledEntries& entries, bool listRead)
    {
        Confirmation confirmation;
        if (!listRead)
            confirmation.unconfirmed.emplace_back(platformListName);
        for (const auto& [address, entry] : entries) {
            bool hasShutDown = entry.leaving && entry.state == ConfirmationState::Unreachable;
            confirmation.anyEntryPolled = confirmation.anyEntryPolled || !hasShutDown;
            if (entry.state != ConfirmationState::Confirmed && !hasShutDown)
                confirmation.unconfirmed.push_back(formatAddress(address));
        }
        return confirmation;
    }

} // namespace

boost::asio::awaitable<Confirmation> awaitConfirmation(Context& context, Revision revision, Duration wait)
{
    TimePoint deadline = bootTimeNow() + wait;
    PolledEntries entries;
    for (const Address& entry : context.entries)
        entries[entry] = {};
    boost::asio::steady_timer timer(context.io);
    while (true) {
        bool listRead = true;
        if (context.platform)
            listRead = co_await addListedEntries(context, entries);
        co_await pollEntries(context, entries, revision);
        Confirmation confirmation = summarize(entries, listRead);
        if (!confirmation.anyEntryPolled || confirmation.unconfirmed.empty() || bootTimeNow() >= deadline)
            co_return confirmation;
        timer.expires_after(pollInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

void printConfirmation(const Confirmation& confirmation)
{
    if (confirmation.inForce())
        std::cout << "in force at every live entry\n";
    if (!confirmation.anyEntryPolled)
        std::cout << "not confirmed: no entry was asked; specify entries with --entry or --platform\n";
    for (const std::string& name : confirmation.unconfirmed)
        std::cout << "not confirmed by " << name << '\n';
}

} // namespace wisteriayard::ctl
