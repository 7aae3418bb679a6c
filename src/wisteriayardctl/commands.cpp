#include "commands.h"

#include <algorithm>
#include <iostream>

namespace wisteriayard::ctl {

namespace {

    constexpr std::size_t unlimitedOperands = 1000;

    std::size_t wordCount(std::string_view name)
    {
        return static_cast<std::size_t>(std::count(name.begin(), name.end(), ' ')) + 1;
    }

} // namespace

const std::vector<CommandInfo>& allCommands()
{
    static const std::vector<CommandInfo> table {
        { "audit verify", "FILE...", "check the hash chain of logs, recompute decisions, reconcile usage",
            "audit verify entry-1.log --last 4f00aa12bc34de56:8123 --replay --contracts history --reports reports.json",
            auditVerify, 1, unlimitedOperands, false },
        { "completion", "bash", "print a completion script for the shell", "completion bash", completion, 1, 1, false },
        { "contract check", "FILE", "validate a contract", "contract check jordan.json", contractCheck, 1, 1, false },
        { "contract diff", "A B",
            "show the fields in which two contracts differ; each is FILE, ACCOUNT or "
            "ACCOUNT@REVISION",
            "contract diff jordan@17 jordan.json", contractDiff, 2, 2, true },
        { "contract get", "ACCOUNT", "show a contract and its revision", "contract get jordan", contractGet, 1, 1,
            true },
        { "contract history", "ACCOUNT", "list the revisions of a contract with what each changed",
            "contract history jordan --export history", contractHistory, 1, 1, true },
        { "contract list", "", "list contracts", "contract list", contractList, 0, 0, true },
        { "contract put", "FILE", "put a contract in force",
            "--platform 10.0.0.6:8080 contract put jordan.json --if-revision 17", contractPut, 1, 1, true },
        { "explain", "REQUEST-ID", "say from logs why a request was placed, waited or was refused",
            "explain 5d1f00aa9c --log entry-1.log entry-2.log", explain, 1, 1, false },
        { "key issue", "ACCOUNT", "issue a key; it is shown once", "key issue jordan", keyIssue, 1, 1, true },
        { "key list", "", "list keys by hash", "key list --account jordan", keyList, 0, 0, true },
        { "key withdraw", "KEY", "withdraw a key, given as key or hash",
            "--platform 10.0.0.6:8080 key withdraw 9f86d081884c7d65...", keyWithdraw, 1, 1, true },
        { "status", "", "state of each entry named with --entry", "--entry 10.0.0.7:9100 status", status, 0, 0, false },
        { "usage", "", "usage by window, account and class, final and not yet final", "usage --account jordan", usage,
            0, 0, true },
        { "where", "ROUTE", "say where a gateway would send a request of a route now, and why",
            "--entry 10.0.0.7:9464 where chat --account jordan --prompt 4f00aa:900,51d2:120 --output-tokens 200", where,
            1, 1, false },
    };
    return table;
}

const CommandInfo* findCommand(const std::vector<std::string>& words)
{
    for (const CommandInfo& command : allCommands()) {
        std::string begin = words.empty() ? "" : words[0];
        if (wordCount(command.name) == 2 && words.size() > 1)
            begin += " " + words[1];
        if (begin == command.name)
            return &command;
    }
    return nullptr;
}

std::string commandHelp(const CommandInfo* command)
{
    std::string text;
    for (const CommandInfo& each : allCommands()) {
        if (command && command != &each)
            continue;
        text += "  " + std::string(each.name) + (each.operands.empty() ? "" : " ") + std::string(each.operands) + "\n"
            + "      " + std::string(each.summary) + "\n      Example: wisteriayardctl " + std::string(each.example)
            + "\n";
    }
    return text;
}

Command runCommand(Context& context, const CommandInfo& command, Arguments arguments)
{
    arguments.words.erase(
        arguments.words.begin(), arguments.words.begin() + static_cast<std::ptrdiff_t>(wordCount(command.name)));
    if (arguments.words.size() < command.minOperands || arguments.words.size() > command.maxOperands) {
        std::cerr << "wisteriayardctl: expected " << command.name << ' ' << command.operands << ", got "
                  << arguments.words.size() << " operands; see --help\n";
        co_return ExitCode::Usage;
    }
    co_return co_await command.function(context, arguments);
}

} // namespace wisteriayard::ctl
