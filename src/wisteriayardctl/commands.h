#pragma once

#include "store_client.h"
#include "wisteriayard/error.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <vector>

namespace wisteriayard::ctl {

/// Exit codes of the tool; documented in docs/operators.md.
enum class ExitCode : int {
    Ok = 0,
    /// The operation was refused: bad document, conflict, not found.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The store or an instance can't be reached; whether a write took effect was read back or is said in the text.
    Unavailable = 3,
    /// Recorded, but not yet confirmed by every instance.
    Pending = 4,
};

/// What a command works with.
struct Context {
    boost::asio::io_context& io;
    StoreClient& store;
    /// Admin addresses of the entries.
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    bool json = false;
};

/// Words of a command after its name, and its options.
struct Arguments {
    std::vector<std::string> words;
    std::string account;
    /// Revision that the operator saw; the write is refused if the contract changed since.
    std::optional<std::int64_t> ifRevision;
    /// How long to wait for every entry to confirm.
    Duration wait = std::chrono::seconds(5);
};

/// Result of a command that did not end in an error.
using CommandResult = Result<ExitCode>;
using Command = boost::asio::awaitable<CommandResult>;

Command contractCheck(Context& context, const Arguments& arguments);
Command contractPut(Context& context, const Arguments& arguments);
Command contractGet(Context& context, const Arguments& arguments);
Command contractList(Context& context, const Arguments& arguments);
Command keyIssue(Context& context, const Arguments& arguments);
Command keyWithdraw(Context& context, const Arguments& arguments);
Command keyList(Context& context, const Arguments& arguments);
Command status(Context& context, const Arguments& arguments);

/// Finds and runs a command by its words, for instance `contract put FILE`.
/// @return the command's exit code, or InvalidArgument if there is no such command
Command runCommand(Context& context, Arguments arguments);

/// Writes one key if it still has the expected revision, and finds out the outcome when the answer is lost.
/// @param expected revision that the key must have; 0 if it must not exist
/// @return the new revision, or Conflict with the present revision in the message
boost::asio::awaitable<Result<Revision>> writeIfUnchanged(
    StoreClient& store, std::string key, std::string value, Revision expected);

/// Waits until each entry's view holds a revision.
/// @return addresses that have not confirmed in time
boost::asio::awaitable<std::vector<std::string>> unconfirmedEntries(Context& context, Revision revision, Duration wait);

} // namespace wisteriayard::ctl
