#pragma once

#include "commands.h"
#include "wisteriayard/contract.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wisteriayard::ctl {

/// Maximum number of previous versions that are stored for each account.
inline constexpr std::size_t maxHistory = 64;

/// Text of a contract and the revision at which it was written.
struct ContractVersion {
    Revision revision;
    std::string text;
    /// True for the contract in force, false for a previous version.
    bool current = false;
};

/// Store key of an account's contract.
std::string contractKey(const AccountId& account);

/// Operations that add a replaced contract to the account's history and delete versions beyond maxHistory.
/// @param predecessor the contract that is replaced
/// @param history versions that are already stored
std::vector<StoreOperation> historyOperations(
    const AccountId& account, const StoreItem& predecessor, const std::vector<ContractVersion>& history);

/// Reads all stored versions of an account's contract, oldest first; empty if there is none.
boost::asio::awaitable<Result<std::vector<ContractVersion>>> readVersions(StoreClient& store, AccountId account);

/// Contracts by account and revision.
using ContractLibrary = std::map<std::pair<std::string, std::int64_t>, std::shared_ptr<const Contract>>;

/// Reads all contracts from the store, including previous versions.
boost::asio::awaitable<Result<ContractLibrary>> readLibrary(StoreClient& store);

/// Reads contracts from files `<folder>/<account>/<revision>.json`, as `contract history --export` writes them.
Result<ContractLibrary> loadLibrary(const std::string& folder);

} // namespace wisteriayard::ctl
