#include "contract_store.h"

#include "store_json.h"
#include "wisteriayard/view.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>

namespace wisteriayard::ctl {

namespace {

    constexpr std::string_view historyPrefix = "contract-history/";

    std::string historyFolder(const AccountId& account) { return std::string(historyPrefix) + account.value() + "/"; }

    std::optional<std::int64_t> parseRevision(std::string_view text)
    {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value <= 0)
            return std::nullopt;
        return value;
    }

    void addContract(ContractLibrary& library, const std::string& account, std::int64_t revision, std::string_view text)
    {
        auto contract = parseContract(text);
        if (contract)
            library[{ account, revision }] = std::make_shared<const Contract>(std::move(contract.value()));
    }

} // namespace

std::string contractKey(const AccountId& account) { return std::string(contractPrefix) + account.value(); }

std::vector<StoreOperation> historyOperations(
    const AccountId& account, const StoreItem& predecessor, const std::vector<ContractVersion>& history)
{
    std::vector<StoreOperation> operations;
    const std::string folder = historyFolder(account);
    operations.push_back(
        PutOperation { folder + std::to_string(predecessor.modRevision.value()), predecessor.value, {} });
    std::size_t previous = 0;
    for (const ContractVersion& version : history)
        previous += version.current ? 0 : 1;
    for (const ContractVersion& version : history) {
        if (version.current || previous < maxHistory)
            continue;
        operations.push_back(DeleteOperation { folder + std::to_string(version.revision.value()) });
        --previous;
    }
    return operations;
}

boost::asio::awaitable<Result<std::vector<ContractVersion>>> readVersions(StoreClient& store, AccountId account)
{
    const std::string folder = historyFolder(account);
    auto previous = co_await store.range(folder, prefixEnd(folder));
    if (!previous)
        co_return previous.error();
    std::vector<ContractVersion> versions;
    for (const StoreItem& item : previous.value().items) {
        if (auto revision = parseRevision(std::string_view(item.key).substr(folder.size())))
            versions.push_back({ Revision(*revision), item.value, false });
    }
    // The store returns keys in text order, which is not the numeric order of revisions.
    std::sort(versions.begin(), versions.end(),
        [](const ContractVersion& a, const ContractVersion& b) { return a.revision < b.revision; });
    auto current = co_await store.read(contractKey(account));
    if (!current && current.error().code != Errc::NotFound)
        co_return current.error();
    if (current)
        versions.push_back({ current.value().modRevision, current.value().value, true });
    co_return versions;
}

boost::asio::awaitable<Result<ContractLibrary>> readLibrary(StoreClient& store)
{
    ContractLibrary library;
    std::string prefix(contractPrefix);
    auto current = co_await store.range(prefix, prefixEnd(prefix));
    if (!current)
        co_return current.error();
    for (const StoreItem& item : current.value().items)
        addContract(library, item.key.substr(prefix.size()), item.modRevision.value(), item.value);
    prefix = historyPrefix;
    auto previous = co_await store.range(prefix, prefixEnd(prefix));
    if (!previous)
        co_return previous.error();
    for (const StoreItem& item : previous.value().items) {
        std::size_t slash = item.key.rfind('/');
        std::string account = item.key.substr(prefix.size(), std::max(slash, prefix.size()) - prefix.size());
        if (auto revision = parseRevision(std::string_view(item.key).substr(slash + 1)))
            addContract(library, account, *revision, item.value);
    }
    co_return library;
}

Result<ContractLibrary> loadLibrary(const std::string& folder)
{
    ContractLibrary library;
    std::error_code error;
    for (std::filesystem::recursive_directory_iterator it(folder, error), end; !error && it != end;
         it.increment(error)) {
        if (it->path().extension() != ".json")
            continue;
        auto revision = parseRevision(it->path().stem().string());
        std::ifstream file(it->path(), std::ios::binary);
        std::string text(std::istreambuf_iterator<char>(file), {});
        if (revision && file)
            addContract(library, it->path().parent_path().filename().string(), *revision, text);
    }
    if (error)
        return fail(Errc::NotFound, "cannot read the folder " + folder + ": " + error.message());
    return library;
}

} // namespace wisteriayard::ctl
