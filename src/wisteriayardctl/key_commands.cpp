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

    Json keyJson(const AccountId& account)
    {
        return { { "account", account.value() }, { "issued_ms", wallClockMilliseconds() } };
    }

    void printWithdrawn(const Context& context, Revision revision, const std::vector<std::string>& unconfirmed)
    {
        if (context.json) {
            Json result = { { "recorded", true }, { "revision", revision.value() }, { "in_force", unconfirmed.empty() },
                { "unconfirmed", unconfirmed } };
            std::cout << result.dump() << '\n';
            return;
        }
        std::cout << "withdrawal recorded at revision " << revision << '\n';
        if (unconfirmed.empty())
            std::cout << "in force at every entry\n";
        for (const std::string& entry : unconfirmed)
            std::cout << "not confirmed by " << entry << '\n';
    }

    void printIssued(const Context& context, const std::string& key, const std::string& hash,
        const std::vector<std::string>& unconfirmed)
    {
        if (context.json)
            std::cout << Json({ { "key", key }, { "key_hash", hash }, { "unconfirmed", unconfirmed } }).dump() << '\n';
        else
            std::cout << key << "\nkey hash " << hash << "; the key itself is not kept and can't be shown again\n";
    }

    Json listedKey(const std::string& hash, const std::string& account, bool withdrawn)
    {
        return { { "key_hash", hash }, { "account", account }, { "withdrawn", withdrawn } };
    }

} // namespace

Command keyIssue(Context& context, const Arguments& arguments)
{
    if (arguments.words.size() != 1)
        co_return fail(Errc::InvalidArgument, "expected one account");
    AccountId account(arguments.words[0]);
    auto contract = co_await context.store.read(std::string(contractPrefix) + account.value());
    if (!contract)
        co_return contract.error();
    std::string key = "wy-" + randomHex(keyRandomBytes);
    std::string hash = sha256Hex(key);
    std::string value = keyJson(account).dump();
    auto revision = co_await writeIfUnchanged(context.store, std::string(keyPrefix) + hash, value, Revision(0));
    if (!revision)
        co_return revision.error();
    auto unconfirmed = co_await unconfirmedEntries(context, revision.value(), arguments.wait);
    printIssued(context, key, hash, unconfirmed);
    co_return unconfirmed.empty() ? ExitCode::Ok : ExitCode::Pending;
}

Command keyWithdraw(Context& context, const Arguments& arguments)
{
    if (arguments.words.size() != 1)
        co_return fail(Errc::InvalidArgument, "expected one key or key hash");
    const std::string& word = arguments.words[0];
    std::string storeKey = std::string(keyPrefix) + (word.rfind("wy-", 0) == 0 ? sha256Hex(word) : word);
    auto present = co_await context.store.read(storeKey);
    if (!present)
        co_return present.error();
    Json record = Json::parse(present.value().value, nullptr, false);
    if (!record.is_object())
        record = Json::object();
    record["withdrawn"] = true;
    record["withdrawn_ms"] = wallClockMilliseconds();
    auto revision = co_await writeIfUnchanged(context.store, storeKey, record.dump(), present.value().modRevision);
    if (!revision)
        co_return revision.error();
    auto unconfirmed = co_await unconfirmedEntries(context, revision.value(), arguments.wait);
    printWithdrawn(context, revision.value(), unconfirmed);
    co_return unconfirmed.empty() ? ExitCode::Ok : ExitCode::Pending;
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
