#pragma once

#include "commands.h"
#include "wisteriayard/contract.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriayard::ctl {

/// Former contracts that are kept for each account.
inline constexpr std::size_t maxHistory = 64;

/// Text of a contract at a revision.
struct ContractVersion {
    Revision revision;
    std::string text;
    /// It is in force, and no former one.
    bool current = false;
};

/// Key in the store of an account's contract.
std::string contractKey(const AccountId& account);

/// Operations that keep the predecessor of a contract when a new one is written.
/// @param predecessor the contract that is replaced
/// @param history former versions that are kept already
std::vector<StoreOperation> historyOperations(
    const AccountId& account, const StoreItem& predecessor, const std::vector<ContractVersion>& history);

/// Reads an account's former contracts and the one in force, oldest first; empty if there is none.
boost::asio::awaitable<Result<std::vector<ContractVersion>>> readVersions(StoreClient& store, AccountId account);

/// Contracts of many accounts by revision.
using ContractLibrary = std::map<std::pair<std::string, std::int64_t>, std::shared_ptr<const Contract>>;

/// Reads every contract that the store holds, former ones too.
boost::asio::awaitable<Result<ContractLibrary>> readLibrary(StoreClient& store);

/// Reads contracts from files `<folder>/<account>/<revision>.json`, as `contract history --export` writes them.
Result<ContractLibrary> loadLibrary(const std::string& folder);

} // namespace wisteriayard::ctl
