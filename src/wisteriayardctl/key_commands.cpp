#include "clock.h"
#include "commands.h"
#include "hash.h"
#include "store_json.h"
#include "wisteriayard/view.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t keyRandomBytes = 24;
    constexpr int maxWithdrawTries = 5;

    Json keyJson(const AccountId& account)
    {
        return { { "account", account.value() }, { "issued_ms", wallClockMilliseconds() } };
    }

    void printWithdrawn(const Context& context, Revision revision, const Confirmation& confirmation)
    {
        if (context.json) {
            Json result = { { "recorded", true }, { "revision", revision.value() },
                { "in_force", confirmation.inForce() }, { "unconfirmed", confirmation.unconfirmed } };
            std::cout << result.dump() << '\n';
            return;
        }
        std::cout << "withdrawal recorded at revision " << revision << '\n';
        printConfirmation(confirmation);
    }

    void printIssued(
        const Context& context, const std::string& key, const std::string& hash, const Confirmation& confirmation)
    {
        if (context.json) {
            Json result = { { "key", key }, { "key_hash", hash }, { "in_force", confirmation.inForce() },
                { "unconfirmed", confirmation.unconfirmed } };
            std::cout << result.dump() << '\n';
            return;
        }
        std::cout << key << "\nkey hash " << hash << "; the key itself is not stored and can't be shown again\n";
        printConfirmation(confirmation);
    }

    std::string keyHashOf(const std::string& word) { return word.rfind("wy-", 0) == 0 ? sha256Hex(word) : word; }

    /// Marks a key as withdrawn. A withdrawal is final, so the write is retried after a conflict.
    /// @return the first revision at which the key is withdrawn
    boost::asio::awaitable<Result<Revision>> markWithdrawn(Context& context, std::string storeKey)
    {
        for (int i = 0; i < maxWithdrawTries; ++i) {
            auto current = co_await context.store.read(storeKey);
            if (!current)
                co_return current.error();
            Json record = Json::parse(current.value().value, nullptr, false);
            if (!record.is_object())
                record = Json::object();
            if (record.value("withdrawn", false))
                co_return current.value().modRevision;
            record["withdrawn"] = true;
            record["withdrawn_ms"] = wallClockMilliseconds();
            ConditionalWrite write { storeKey, record.dump(), current.value().modRevision, {} };
            auto outcome = co_await writeIfUnchanged(context.store, write);
            if (!outcome)
                co_return outcome.error();
            if (outcome.value().written)
                co_return outcome.value().revision;
        }
        co_return fail(Errc::Conflict, storeKey + " was changed concurrently on every try; it is not withdrawn");
    }

    Json listedKey(const std::string& hash, const std::string& account, bool withdrawn)
    {
        return { { "key_hash", hash }, { "account", account }, { "withdrawn", withdrawn } };
    }

} // namespace

Command keyIssue(Context& context, const Arguments& arguments)
{
    AccountId account(arguments.words[0]);
    auto contract = co_await context.store.read(std::string(contractPrefix) + account.value());
    if (!contract && contract.error().code == Errc::NotFound)
        co_return fail(Errc::NotFound, "no contract of account " + account.value() + "; see contract list");
    if (!contract)
        co_return contract.error();
    std::string key = "wy-" + randomHex(keyRandomBytes);
    std::string hash = sha256Hex(key);
    ConditionalWrite write { std::string(keyPrefix) + hash, keyJson(account).dump(), Revision(0), {} };
    auto outcome = co_await writeIfUnchanged(context.store, write);
    if (!outcome)
        co_return outcome.error();
    if (!outcome.value().written)
        co_return fail(Errc::Conflict, "the key was changed concurrently before it could be shown; issue another one");
    auto confirmation = co_await awaitConfirmation(context, outcome.value().revision, arguments.wait);
    printIssued(context, key, hash, confirmation);
    co_return confirmation.exitCode();
}

Command keyWithdraw(Context& context, const Arguments& arguments)
{
    std::string hash = keyHashOf(arguments.words[0]);
    auto revision = co_await markWithdrawn(context, std::string(keyPrefix) + hash);
    if (!revision && revision.error().code == Errc::NotFound)
        co_return fail(Errc::NotFound, "no key with the hash " + hash + "; see key list");
    if (!revision)
        co_return fail(revision.error().code, "not withdrawn: " + revision.error().message);
    auto confirmation = co_await awaitConfirmation(context, revision.value(), arguments.wait);
    printWithdrawn(context, revision.value(), confirmation);
    co_return confirmation.exitCode();
}

Command keyList(Context& context, const Arguments& arguments)
{
    std::string prefix(keyPrefix);
    auto range = co_await context.store.range(prefix, prefixEnd(prefix));
    if (!range)
        co_return range.error();
    Json list = Json::array();
    for (const StoreItem& item : range.value().items) {
        Json record = Json::parse(item.value, nullptr, false);
        std::string account = record.is_object() ? record.value("account", "") : "";
        if (!arguments.account.empty() && account != arguments.account)
            continue;
        bool withdrawn = record.is_object() && record.value("withdrawn", false);
        std::string hash = item.key.substr(prefix.size());
        list.push_back(listedKey(hash, account, withdrawn));
        if (!context.json)
            std::cout << hash << ' ' << std::left << std::setw(20) << account << ' '
                      << (withdrawn ? "withdrawn" : "valid") << '\n';
    }
    if (context.json)
        std::cout << list.dump() << '\n';
    co_return ExitCode::Ok;
}

} // namespace wisteriayard::ctl
