#include "commands.h"
#include "store_json.h"
#include "wisteriayard/view.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;

    struct ContractFile {
        std::string text;
        Contract contract;
    };

    Result<ContractFile> readContractFile(const Arguments& arguments)
    {
        if (arguments.words.size() != 1)
            return fail(Errc::InvalidArgument, "expected one file");
        std::ifstream file(arguments.words[0], std::ios::binary);
        if (!file)
            return fail(Errc::NotFound, "cannot open " + arguments.words[0]);
        ContractFile result;
        result.text.assign(std::istreambuf_iterator<char>(file), {});
        BOOST_OUTCOME_TRY(result.contract, parseContract(result.text));
        return result;
    }

    std::string contractKey(const AccountId& account) { return std::string(contractPrefix) + account.value(); }

    void printPut(const Context& context, const AccountId& account, Revision revision,
        const std::vector<std::string>& unconfirmed)
    {
        if (context.json) {
            Json result = { { "account", account.value() }, { "revision", revision.value() },
                { "in_force", unconfirmed.empty() }, { "unconfirmed", unconfirmed } };
            std::cout << result.dump() << '\n';
            return;
        }
        std::cout << "contract of " << account << " recorded at revision " << revision << '\n';
        if (unconfirmed.empty())
            std::cout << "in force at every entry\n";
        for (const std::string& entry : unconfirmed)
            std::cout << "not confirmed by " << entry << '\n';
    }

    void printContract(const Context& context, const StoreItem& item)
    {
        if (!context.json) {
            std::cout << item.value << "\nrevision " << item.modRevision << '\n';
            return;
        }
        Json contract = Json::parse(item.value, nullptr, false);
        Json result = { { "revision", item.modRevision.value() }, { "contract", contract } };
        std::cout << result.dump() << '\n';
    }

    Json listedContract(const std::string& account, Revision revision)
    {
        return { { "account", account }, { "revision", revision.value() } };
    }

} // namespace

Command contractCheck(Context& context, const Arguments& arguments)
{
    auto file = readContractFile(arguments);
    if (!file)
        co_return file.error();
    if (context.json)
        std::cout << R"({"valid":true})" << '\n';
    else
        std::cout << "contract of " << file.value().contract.account << " is valid, "
                  << file.value().contract.classes.size() << " classes\n";
    co_return ExitCode::Ok;
}

Command contractPut(Context& context, const Arguments& arguments)
{
    auto file = readContractFile(arguments);
    if (!file)
        co_return file.error();
    const AccountId& account = file.value().contract.account;
    Revision expected(arguments.ifRevision.value_or(0));
    if (!arguments.ifRevision) {
        auto present = co_await context.store.read(contractKey(account));
        if (!present && present.error().code != Errc::NotFound)
            co_return present.error();
        expected = present ? present.value().modRevision : Revision(0);
    }
    auto revision = co_await writeIfUnchanged(context.store, contractKey(account), file.value().text, expected);
    if (!revision)
        co_return revision.error();
    auto unconfirmed = co_await unconfirmedEntries(context, revision.value(), arguments.wait);
    printPut(context, account, revision.value(), unconfirmed);
    co_return unconfirmed.empty() ? ExitCode::Ok : ExitCode::Pending;
}

Command contractGet(Context& context, const Arguments& arguments)
{
    if (arguments.words.size() != 1)
        co_return fail(Errc::InvalidArgument, "expected one account");
    auto item = co_await context.store.read(contractKey(AccountId(arguments.words[0])));
    if (!item)
        co_return item.error();
    printContract(context, item.value());
    co_return ExitCode::Ok;
}

Command contractList(Context& context, const Arguments&)
{
    std::string prefix(contractPrefix);
    auto range = co_await context.store.range(prefix, prefixEnd(prefix));
    if (!range)
        co_return range.error();
    Json list = Json::array();
    for (const StoreItem& item : range.value().items) {
        std::string account = item.key.substr(prefix.size());
        if (context.json)
            list.push_back(listedContract(account, item.modRevision));
        else
            std::cout << std::left << std::setw(24) << account << " revision " << item.modRevision << '\n';
    }
    if (context.json)
        std::cout << list.dump() << '\n';
    co_return ExitCode::Ok;
}

} // namespace wisteriayard::ctl
