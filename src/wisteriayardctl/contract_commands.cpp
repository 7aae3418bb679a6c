#include "contract_diff.h"
#include "contract_store.h"
#include "store_json.h"
#include "wisteriayard/view.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;

    /// Maximum value size of the store.
    constexpr std::size_t maxContractBytes = 1024 * 1024;

    struct ContractFile {
        std::string text;
        Contract contract;
    };

    Result<std::string> readFile(const std::string& name)
    {
        std::ifstream file(name, std::ios::binary);
        if (!file)
            return fail(Errc::NotFound, "cannot open the file " + name);
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    Result<ContractFile> readContractFile(const std::string& name)
    {
        ContractFile result;
        BOOST_OUTCOME_TRY(result.text, readFile(name));
        if (result.text.size() > maxContractBytes)
            return fail(Errc::InvalidArgument, name + " is larger than 1 MiB");
        auto contract = parseContract(result.text);
        if (!contract)
            return fail(contract.error().code, name + ": " + contract.error().message);
        result.contract = std::move(contract.value());
        return result;
    }

    void printPut(const Context& context, const AccountId& account, Revision revision, const Confirmation& confirmation)
    {
        if (context.json) {
            Json result = { { "account", account.value() }, { "revision", revision.value() },
                { "in_force", confirmation.inForce() }, { "unconfirmed", confirmation.unconfirmed } };
            std::cout << result.dump() << '\n';
            return;
        }
        std::cout << "contract of " << account << " recorded at revision " << revision << '\n';
        printConfirmation(confirmation);
    }

    Json differencesJson(const std::vector<FieldDifference>& differences, const char* first, const char* second)
    {
        Json list = Json::array();
        for (const FieldDifference& difference : differences) {
            Json item = { { "field", difference.path } };
            item[first] = Json::parse(difference.first, nullptr, false);
            item[second] = Json::parse(difference.second, nullptr, false);
            for (const char* side : { first, second }) {
                if (item[side].is_discarded())
                    item[side] = nullptr;
            }
            list.push_back(item);
        }
        return list;
    }

    void printDifferences(std::ostream& out, const std::vector<FieldDifference>& differences)
    {
        constexpr int fieldWidth = 44;
        auto shown = [](const std::string& text) { return text.empty() ? std::string("(none)") : text; };
        for (const FieldDifference& difference : differences)
            out << "  " << std::left << std::setw(fieldWidth) << difference.path << ' ' << shown(difference.first)
                << " -> " << shown(difference.second) << '\n';
    }

    /// A contract that was not written because the account's contract is not at the expected revision.
    struct PutConflict {
        AccountId account;
        Revision expectedRevision;
        Revision currentRevision;
        std::string currentText;
        std::string submittedText;
        /// Revision at which the submitted contract took effect before it was replaced; 0 if it never took effect.
        Revision replacedRevision;
    };

    ExitCode reportConflict(const Context& context, const PutConflict& conflict)
    {
        auto differences = differingFields(conflict.currentText, conflict.submittedText);
        if (context.json) {
            Json result = { { "error", "conflict" }, { "account", conflict.account.value() },
                { "seen_revision", conflict.expectedRevision.value() },
                { "present_revision", conflict.currentRevision.value() },
                { "written_revision", conflict.replacedRevision.value() },
                { "fields", differencesJson(differences, "present", "yours") } };
            std::cout << result.dump() << '\n';
        }
        std::cerr << "wisteriayardctl: conflict: the contract of " << conflict.account << " was expected at revision "
                  << conflict.expectedRevision << " but is at revision " << conflict.currentRevision << "; ";
        if (conflict.replacedRevision > Revision(0))
            std::cerr << "the submitted contract took effect at revision " << conflict.replacedRevision
                      << " and has been replaced since\n";
        else
            std::cerr << "the submitted contract did not take effect\n";
        if (differences.empty())
            std::cerr << "both contracts have the same fields\n";
        else
            std::cerr << "fields that differ, present -> yours:\n";
        printDifferences(std::cerr, differences);
        return ExitCode::Refused;
    }

    /// Finds the revision of the submitted contract among the previous versions; 0 if it is not among them.
    Revision findReplacedRevision(
        const std::vector<ContractVersion>& versions, const std::string& text, Revision expected)
    {
        for (const ContractVersion& version : versions) {
            if (!version.current && version.revision > expected && version.text == text)
                return version.revision;
        }
        return Revision(0);
    }

    /// Reads a contract named as FILE, ACCOUNT or ACCOUNT@REVISION.
    boost::asio::awaitable<Result<std::string>> readOperand(Context& context, std::string name)
    {
        std::error_code ignored;
        if (std::filesystem::is_regular_file(name, ignored))
            co_return readFile(name);
        std::size_t at = name.find('@');
        AccountId account(name.substr(0, at));
        auto versions = co_await readVersions(context.store, account);
        if (!versions)
            co_return versions.error();
        for (const ContractVersion& version : versions.value()) {
            bool matches = at == std::string::npos ? version.current
                                                   : std::to_string(version.revision.value()) == name.substr(at + 1);
            if (matches)
                co_return version.text;
        }
        co_return fail(Errc::NotFound, name + " is neither a file nor a contract in the store");
    }

    Json versionJson(const ContractVersion& version, const std::vector<FieldDifference>& changed)
    {
        return { { "revision", version.revision.value() }, { "current", version.current },
            { "changed", differencesJson(changed, "before", "after") } };
    }

    Status exportVersion(const std::string& folder, const AccountId& account, const ContractVersion& version)
    {
        std::filesystem::path path = std::filesystem::path(folder) / account.value();
        std::error_code error;
        std::filesystem::create_directories(path, error);
        path /= std::to_string(version.revision.value()) + ".json";
        std::ofstream file(path, std::ios::binary);
        file << version.text;
        file.close();
        if (!file)
            return fail(Errc::InvalidArgument, "cannot write " + path.string());
        return boost::outcome_v2::success();
    }

} // namespace

Command contractCheck(Context& context, const Arguments& arguments)
{
    auto file = readContractFile(arguments.words[0]);
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
    auto file = readContractFile(arguments.words[0]);
    if (!file)
        co_return file.error();
    const AccountId& account = file.value().contract.account;
    const std::string& text = file.value().text;
    auto versions = co_await readVersions(context.store, account);
    if (!versions)
        co_return versions.error();
    const bool exists = !versions.value().empty() && versions.value().back().current;
    StoreItem current { contractKey(account), "", Revision(0), Revision(0) };
    if (exists) {
        current.value = versions.value().back().text;
        current.modRevision = versions.value().back().revision;
    }
    Revision expected(arguments.ifRevision.value_or(current.modRevision.value()));
    if (expected != current.modRevision)
        co_return reportConflict(context, { account, expected, current.modRevision, current.value, text, Revision(0) });
    if (exists && current.value == text) {
        // Already stored, possibly by a command that ended before every entry had confirmed.
        auto confirmation = co_await awaitConfirmation(context, expected, arguments.wait);
        printPut(context, account, expected, confirmation);
        co_return confirmation.exitCode();
    }
    ConditionalWrite write { current.key, text, expected, {} };
    if (exists)
        write.additionalOperations = historyOperations(account, current, versions.value());
    auto outcome = co_await writeIfUnchanged(context.store, write);
    if (!outcome)
        co_return outcome.error();
    if (!outcome.value().written) {
        PutConflict conflict { account, expected, outcome.value().revision, outcome.value().currentValue, text,
            Revision(0) };
        if (outcome.value().earlierTryIndeterminate) {
            auto now = co_await readVersions(context.store, account);
            if (!now)
                co_return now.error();
            conflict.replacedRevision = findReplacedRevision(now.value(), text, expected);
        }
        co_return reportConflict(context, conflict);
    }
    auto confirmation = co_await awaitConfirmation(context, outcome.value().revision, arguments.wait);
    printPut(context, account, outcome.value().revision, confirmation);
    co_return confirmation.exitCode();
}

Command contractGet(Context& context, const Arguments& arguments)
{
    auto item = co_await context.store.read(contractKey(AccountId(arguments.words[0])));
    if (!item && item.error().code == Errc::NotFound)
        co_return fail(Errc::NotFound, "no contract of account " + arguments.words[0] + "; see contract list");
    if (!item)
        co_return item.error();
    if (!context.json) {
        std::cout << item.value().value << "\nrevision " << item.value().modRevision << '\n';
        co_return ExitCode::Ok;
    }
    Json result = Json::object();
    result["revision"] = item.value().modRevision.value();
    result["contract"] = Json::parse(item.value().value, nullptr, false);
    std::cout << result.dump() << '\n';
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
        Json row = Json::object();
        row["account"] = account;
        row["revision"] = item.modRevision.value();
        list.push_back(row);
        if (!context.json)
            std::cout << std::left << std::setw(24) << account << " revision " << item.modRevision << '\n';
    }
    if (context.json)
        std::cout << list.dump() << '\n';
    co_return ExitCode::Ok;
}

Command contractDiff(Context& context, const Arguments& arguments)
{
    auto first = co_await readOperand(context, arguments.words[0]);
    if (!first)
        co_return first.error();
    auto second = co_await readOperand(context, arguments.words[1]);
    if (!second)
        co_return second.error();
    auto differences = differingFields(first.value(), second.value());
    if (context.json)
        std::cout << differencesJson(differences, "first", "second").dump() << '\n';
    else if (differences.empty())
        std::cout << "no field differs\n";
    else
        printDifferences(std::cout, differences);
    co_return ExitCode::Ok;
}

Command contractHistory(Context& context, const Arguments& arguments)
{
    AccountId account(arguments.words[0]);
    auto versions = co_await readVersions(context.store, account);
    if (!versions)
        co_return versions.error();
    if (versions.value().empty())
        co_return fail(Errc::NotFound, "no contract of account " + account.value() + "; see contract list");
    Json list = Json::array();
    const ContractVersion* before = nullptr;
    for (const ContractVersion& version : versions.value()) {
        std::vector<FieldDifference> changed;
        if (before)
            changed = differingFields(before->text, version.text);
        before = &version;
        list.push_back(versionJson(version, changed));
        if (!arguments.exportFolder.empty()) {
            if (auto exported = exportVersion(arguments.exportFolder, account, version); !exported)
                co_return exported.error();
        }
        if (context.json)
            continue;
        std::cout << "revision " << version.revision << (version.current ? " (in force)" : "") << '\n';
        printDifferences(std::cout, changed);
    }
    if (context.json)
        std::cout << list.dump() << '\n';
    co_return ExitCode::Ok;
}

} // namespace wisteriayard::ctl
