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
    /// The operation was refused: bad document, conflict, not found, a log that fails its audit.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The store or an instance can't be reached; the text says what is known of a write.
    Unavailable = 3,
    /// Recorded, but not confirmed by every live entry.
    Pending = 4,
};

/// What a command works with.
struct Context {
    boost::asio::io_context& io;
    StoreClient& store;
    /// Admin addresses of the entries.
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    /// Platform whose list names the live entries.
    std::optional<boost::asio::ip::tcp::endpoint> platform;
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
    /// Log files.
    std::vector<std::string> logs;
    /// Positions that logs must reach, `[INCARNATION:]SEQUENCE[:HASH]`.
    std::vector<std::string> last;
    bool replay = false;
    std::string contracts;
    std::string reports;
    std::string exportFolder;
};

/// Result of a command that did not end in an error.
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
    /// Number of operands.
    std::size_t leastWords = 0;
    std::size_t mostWords = 0;
    bool needsStore = true;
};

/// All commands, ordered by name.
const std::vector<CommandInfo>& allCommands();

/// Finds the command that the words begin with, for instance `contract put FILE`; nullptr if there is none.
const CommandInfo* findCommand(const std::vector<std::string>& words);

/// Text of `--help`: of one command, or of all if it is null.
std::string commandHelp(const CommandInfo* command);

/// Checks the number of operands and runs a command.
/// @return the command's exit code
Command runCommand(Context& context, const CommandInfo& command, Arguments arguments);

/// A write that takes effect only if its key still has the expected revision.
struct ConditionalWrite {
    std::string key;
    std::string value;
    /// 0: the key must not exist.
    Revision expected;
    /// Further operations that take effect with it.
    std::vector<StoreOperation> also;
};

/// What became of a conditional write.
struct WriteOutcome {
    bool written = false;
    /// Revision of the write if it took effect, else the present revision of the key.
    Revision revision;
    /// What the key holds if the write did not take effect; empty if the key does not exist.
    std::string present;
    /// An earlier try got no answer, so it may have taken effect and been replaced since.
    bool uncertain = false;
};

/// Writes one key if it still has the expected revision. When an answer is lost it sends the same write again:
/// the compare lets at most one of them take effect, also when a lost one arrives late, so the answer to a later
/// one tells the outcome for good.
/// @return Unavailable if nothing was sent, Timeout if the outcome is not known
boost::asio::awaitable<Result<WriteOutcome>> writeIfUnchanged(StoreClient& store, ConditionalWrite write);

/// Which entries hold a revision.
struct Confirmation {
    /// At least one entry was asked.
    bool asked = false;
    /// Entries, or the platform's list, that did not confirm in time.
    std::vector<std::string> missing;

    bool inForce() const { return asked && missing.empty(); }
    ExitCode exitCode() const { return inForce() ? ExitCode::Ok : ExitCode::Pending; }
};

/// Waits until each live entry's view holds a revision. Live entries are those named with `--entry`, and those on
/// the platform's list, which is read again in each round.
boost::asio::awaitable<Confirmation> confirmEverywhere(Context& context, Revision revision, Duration wait);

/// Prints who confirmed.
void printConfirmation(const Confirmation& confirmation);

} // namespace wisteriayard::ctl
