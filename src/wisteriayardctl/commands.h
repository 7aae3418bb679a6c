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
    /// The operation was rejected: invalid document, conflict, not found, or a log that failed its audit.
    Refused = 1,
    /// Invalid command line.
    Usage = 2,
    /// The store or an instance can't be reached; the error message states whether a write may have taken effect.
    Unavailable = 3,
    /// The write was committed, but not every live entry confirmed it in time.
    Pending = 4,
};

/// Connections and output settings of a command.
struct Context {
    boost::asio::io_context& io;
    StoreClient& store;
    /// Admin addresses of the entries.
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    /// Platform whose instance list names the live entries.
    std::optional<boost::asio::ip::tcp::endpoint> platform;
    bool json = false;
};

/// Operands and options of a command.
struct Arguments {
    std::vector<std::string> words;
    std::string account;
    /// Expected revision of the contract; the write is rejected if the contract is at another one.
    std::optional<std::int64_t> ifRevision;
    /// Maximum time to wait for every entry to confirm.
    Duration wait = std::chrono::seconds(5);
    std::vector<std::string> logFiles;
    /// Records that the logs must contain, each as `[INCARNATION:]SEQUENCE[:HASH]`.
    std::vector<std::string> logAnchors;
    bool replay = false;
    std::string contractsFolder;
    std::string usageReportsFile;
    std::string exportFolder;
    /// Segments of a prompt as `ID:TOKENS,...`.
    std::string prompt;
    std::optional<std::int64_t> outputTokens;
    std::optional<std::int64_t> timeLeftMs;
};

/// Exit code of a completed command, or its error.
using CommandResult = Result<ExitCode>;
using Command = boost::asio::awaitable<CommandResult>;

Command contractCheck(Context& context, const Arguments& arguments);
Command contractPut(Context& context, const Arguments& arguments);
Command contractGet(Context& context, const Arguments& arguments);
Command contractList(Context& context, const Arguments& arguments);
Command contractDiff(Context& context, const Arguments& arguments);
Command contractHistory(Context& context, const Arguments& arguments);
Command keyIssue(Context& context, const Arguments& arguments);
Command keyWithdraw(Context& context, const Arguments& arguments);
Command keyList(Context& context, const Arguments& arguments);
Command status(Context& context, const Arguments& arguments);
Command explain(Context& context, const Arguments& arguments);
Command where(Context& context, const Arguments& arguments);
Command usage(Context& context, const Arguments& arguments);
Command auditVerify(Context& context, const Arguments& arguments);
Command completion(Context& context, const Arguments& arguments);

/// A command of the tool.
struct CommandInfo {
    std::string_view name;
    std::string_view operands;
    std::string_view summary;
    std::string_view example;
    Command (*function)(Context&, const Arguments&);
    std::size_t minOperands = 0;
    std::size_t maxOperands = 0;
    bool needsStore = true;
};

/// All commands, ordered by name.
const std::vector<CommandInfo>& allCommands();

/// Finds the command that a command line such as `contract put FILE` begins with; nullptr if there is none.
const CommandInfo* findCommand(const std::vector<std::string>& words);

/// Help text of one command, or of all commands if `command` is null.
std::string commandHelp(const CommandInfo* command);

/// Checks the number of operands and runs the command.
/// @return the command's exit code
Command runCommand(Context& context, const CommandInfo& command, Arguments arguments);

/// A compare-and-swap write: it takes effect only if the key is still at the expected revision.
struct ConditionalWrite {
    std::string key;
    std::string value;
    /// 0: the key must not exist.
    Revision expected;
    /// Further operations of the same transaction.
    std::vector<StoreOperation> additionalOperations;
};

/// Outcome of a conditional write.
struct WriteOutcome {
    bool written = false;
    /// Revision of the write if it took effect, otherwise the current revision of the key.
    Revision revision;
    /// Current value of the key if the write did not take effect; empty if the key does not exist.
    std::string currentValue;
    /// An earlier try got no response, so it may have taken effect and been overwritten since.
    bool earlierTryIndeterminate = false;
};

/// Writes a key if it is still at the expected revision. A try that gets no response is repeated: because of the
/// compare at most one try takes effect, even if an earlier one reaches the store late, so the response to any later
/// try determines the outcome.
/// @return Unavailable if the first try could not be sent, Timeout if the outcome is unknown
boost::asio::awaitable<Result<WriteOutcome>> writeIfUnchanged(StoreClient& store, ConditionalWrite write);

/// Result of polling the entries for a revision.
struct Confirmation {
    /// At least one entry was polled.
    bool anyEntryPolled = false;
    /// Entries that did not confirm in time; also the platform's instance list if it could not be read.
    std::vector<std::string> unconfirmed;

    bool inForce() const { return anyEntryPolled && unconfirmed.empty(); }
    ExitCode exitCode() const { return inForce() ? ExitCode::Ok : ExitCode::Pending; }
};

/// Polls the live entries until the view of each has reached a revision or the wait time ends. Live entries are those
/// given with `--entry` and those on the platform's instance list, which is read again in each round.
boost::asio::awaitable<Confirmation> awaitConfirmation(Context& context, Revision revision, Duration wait);

/// Prints whether the revision is in force and which entries did not confirm it.
void printConfirmation(const Confirmation& confirmation);

} // namespace wisteriayard::ctl
