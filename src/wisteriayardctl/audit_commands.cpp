#include "commands.h"
#include "contract_store.h"
#include "log_reader.h"
#include "wisteriayard/audit.h"
#include "wisteriayard/replay.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <map>

namespace wisteriayard::ctl {

namespace {

    using Json = nlohmann::json;

    /// Findings of an audit.
    struct AuditReport {
        std::vector<AuditFinding> chainFindings;
        std::map<std::string, AuditLogSummary> summaries;
        std::vector<ReplayFinding> replayFindings;
        std::size_t decisionCount = 0;
        std::vector<std::string> usageFindings;

        bool passed() const { return chainFindings.empty() && replayFindings.empty() && usageFindings.empty(); }
    };

    Result<AuditAnchor> parseAnchor(const std::string& text)
    {
        std::vector<std::string> parts { "" };
        for (char each : text) {
            if (each == ':')
                parts.emplace_back();
            else
                parts.back().push_back(each);
        }
        AuditAnchor anchor;
        std::size_t index = 0;
        if (parts.size() > 1)
            anchor.incarnation = parts[index++];
        const std::string& digits = parts[index];
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), anchor.sequence);
        bool complete = error == std::errc() && end == digits.data() + digits.size();
        if (parts.size() > 3 || !complete || anchor.sequence == 0)
            return fail(Errc::InvalidArgument,
                "--last: \"" + text
                    + "\" is not allowed; expected [INCARNATION:]SEQUENCE or INCARNATION:SEQUENCE:HASH");
        if (parts.size() == 3)
            anchor.hash = parts[2];
        return anchor;
    }

    Status verifyChain(const Arguments& arguments, AuditReport& report)
    {
        std::vector<AuditAnchor> anchors;
        for (const std::string& text : arguments.logAnchors) {
            BOOST_OUTCOME_TRY(auto anchor, parseAnchor(text));
            anchors.push_back(std::move(anchor));
        }
        AuditVerifier verifier;
        for (const std::string& file : arguments.words) {
            BOOST_OUTCOME_TRY(
                readLines(file, [&](std::size_t number, const std::string& line) { verifier.addLine(number, line); }));
        }
        report.chainFindings = verifier.finish(anchors);
        report.summaries = verifier.summaries();
        return boost::outcome_v2::success();
    }

    using AccountClass = std::pair<std::string, std::string>;

    /// Usage reports received by the platform.
    struct UsageReports {
        std::map<AccountClass, UsageSum> sums;
        /// Lines by window. A report may be sent again, then with the same figures.
        std::map<std::int64_t, Json> windows;
        /// Messages on windows that were reported more than once with different figures.
        std::vector<std::string> conflicts;
    };

    /// Adds a usage line `{"account", "class", "requests", "output_tokens"}`.
    Status addLine(const Json& line, UsageReports& reports)
    {
        auto has = [&](const char* field, bool text) {
            auto it = line.find(field);
            return it != line.end() && (text ? it->is_string() : it->is_number_integer());
        };
        if (!has("account", true) || !has("class", true) || !has("requests", false) || !has("output_tokens", false))
            return fail(Errc::InvalidArgument,
                "--reports: " + line.dump().substr(0, 200)
                    + " needs account and class (text), requests and output_tokens (whole numbers)");
        UsageSum& sum = reports.sums[{ line["account"].get<std::string>(), line["class"].get<std::string>() }];
        sum.requests += line["requests"].get<std::int64_t>();
        sum.outputTokens += line["output_tokens"].get<std::int64_t>();
        return boost::outcome_v2::success();
    }

    Status addLines(const Json& lines, UsageReports& reports)
    {
        if (!lines.is_array())
            return fail(Errc::InvalidArgument, "--reports: expected a list of lines");
        for (const Json& line : lines) {
            if (!line.is_object())
                return fail(Errc::InvalidArgument, "--reports: a line is not an object");
            BOOST_OUTCOME_TRY(addLine(line, reports));
        }
        return boost::outcome_v2::success();
    }

    /// Adds a report in the format of the platform's interface: `{"window", "lines": […], "late": [{"window",
    /// "lines"}]}`.
    Status addReport(const Json& report, UsageReports& reports)
    {
        auto window = report.find("window");
        if (window == report.end() || !window->is_number_integer())
            return fail(Errc::InvalidArgument, "--reports: window of a report is not a whole number");
        Json late = report.value("late", Json::array());
        Json content = Json::array({ report["lines"], late });
        auto [it, isNew] = reports.windows.try_emplace(window->get<std::int64_t>(), content);
        if (!isNew) {
            if (it->second != content)
                reports.conflicts.push_back("window " + window->dump() + " was reported with different figures");
            return boost::outcome_v2::success();
        }
        BOOST_OUTCOME_TRY(addLines(report["lines"], reports));
        for (const Json& each : late) {
            if (!each.is_object() || !each.contains("lines"))
                return fail(Errc::InvalidArgument, "--reports: late of a report is not a list of windows with lines");
            BOOST_OUTCOME_TRY(addLines(each["lines"], reports));
        }
        return boost::outcome_v2::success();
    }

    Result<UsageReports> readReports(const std::string& name)
    {
        std::ifstream file(name, std::ios::binary);
        Json list = file ? Json::parse(file, nullptr, false) : Json();
        if (!list.is_array())
            return fail(Errc::InvalidArgument, "--reports: " + name + " is not a JSON list");
        UsageReports reports;
        for (const Json& item : list) {
            if (!item.is_object())
                return fail(Errc::InvalidArgument, "--reports: an item of " + name + " is not an object");
            if (item.contains("lines")) {
                BOOST_OUTCOME_TRY(addReport(item, reports));
            } else {
                BOOST_OUTCOME_TRY(addLine(item, reports));
            }
        }
        return reports;
    }

    /// Compares sums over all windows, because a partial usage record that arrives late is reported in a later window.
    Status reconcile(const std::string& file, const DecisionReplay& replay, AuditReport& report)
    {
        BOOST_OUTCOME_TRY(auto reports, readReports(file));
        report.usageFindings = reports.conflicts;
        std::map<AccountClass, UsageSum>& reported = reports.sums;
        std::map<AccountClass, UsageSum> logged;
        for (const auto& [key, sum] : replay.usage()) {
            UsageSum& total = logged[{ key.account, key.requestClass }];
            total.requests += sum.requests;
            total.outputTokens += sum.outputTokens;
            reported.try_emplace({ key.account, key.requestClass });
        }
        for (const auto& [key, sum] : reported) {
            const UsageSum& loggedSum = logged[key];
            if (loggedSum == sum)
                continue;
            report.usageFindings.push_back(key.first + " " + key.second + ": logged "
                + std::to_string(loggedSum.requests) + " requests and " + std::to_string(loggedSum.outputTokens)
                + " output tokens, reported " + std::to_string(sum.requests) + " and "
                + std::to_string(sum.outputTokens));
        }
        return boost::outcome_v2::success();
    }

    /// Recomputes the decisions and reconciles usage as the arguments request.
    /// @param contracts empty if decisions are not recomputed
    Status recompute(const Arguments& arguments, const ContractLibrary& contracts, AuditReport& report)
    {
        DecisionReplay replay([&](const AccountId& account, Revision revision) {
            auto it = contracts.find({ account.value(), revision.value() });
            return it == contracts.end() ? nullptr : it->second;
        });
        for (const std::string& file : arguments.words) {
            BOOST_OUTCOME_TRY(readLines(file, [&](std::size_t, const std::string& line) { replay.addLine(line); }));
        }
        if (arguments.replay) {
            report.replayFindings = replay.findings();
            report.decisionCount = replay.decisionCount();
        }
        if (arguments.usageReportsFile.empty())
            return boost::outcome_v2::success();
        return reconcile(arguments.usageReportsFile, replay, report);
    }

    Json reportJson(const AuditReport& report)
    {
        Json json = { { "passed", report.passed() }, { "processes", Json::array() }, { "faults", Json::array() },
            { "decisions", report.decisionCount }, { "differing", Json::array() }, { "usage", report.usageFindings } };
        for (const auto& [incarnation, summary] : report.summaries)
            json["processes"].push_back({ { "incarnation", incarnation }, { "instance", summary.instance },
                { "records", summary.recordCount }, { "last", summary.lastSequence }, { "hash", summary.head } });
        for (const AuditFinding& each : report.chainFindings)
            json["faults"].push_back({ { "fault", auditFaultName(each.fault) }, { "incarnation", each.incarnation },
                { "seq", each.sequence }, { "line", each.line }, { "message", each.message } });
        for (const ReplayFinding& each : report.replayFindings)
            json["differing"].push_back({ { "incarnation", each.incarnation }, { "seq", each.sequence },
                { "request", each.request }, { "message", each.message } });
        return json;
    }

    void printReport(const AuditReport& report, bool replayed)
    {
        for (const auto& [incarnation, summary] : report.summaries)
            std::cout << summary.instance << ' ' << incarnation << ": " << summary.recordCount << " records, last "
                      << summary.lastSequence << ", hash " << summary.head << '\n';
        for (const AuditFinding& each : report.chainFindings)
            std::cout << "FAULT " << auditFaultName(each.fault) << ": " << each.incarnation << " record "
                      << each.sequence << (each.line ? ", line " + std::to_string(each.line) : "") << ": "
                      << each.message << '\n';
        for (const ReplayFinding& each : report.replayFindings)
            std::cout << "DIFFERS " << each.incarnation << " record " << each.sequence << ", request " << each.request
                      << ": " << each.message << '\n';
        for (const std::string& each : report.usageFindings)
            std::cout << "USAGE " << each << '\n';
        if (replayed)
            std::cout << report.decisionCount << " decisions recomputed, " << report.replayFindings.size()
                      << " differ\n";
        std::cout << (report.passed() ? "passed\n" : "failed\n");
    }

} // namespace

Command auditVerify(Context& context, const Arguments& arguments)
{
    AuditReport report;
    if (auto verified = verifyChain(arguments, report); !verified)
        co_return verified.error();
    ContractLibrary contracts;
    if (arguments.replay) {
        Result<ContractLibrary> library = ContractLibrary();
        if (arguments.contractsFolder.empty())
            library = co_await readLibrary(context.store);
        else
            library = loadLibrary(arguments.contractsFolder);
        if (!library)
            co_return library.error();
        contracts = std::move(library.value());
    }
    if (auto recomputed = recompute(arguments, contracts, report); !recomputed)
        co_return recomputed.error();
    if (context.json)
        std::cout << reportJson(report).dump() << '\n';
    else
        printReport(report, arguments.replay);
    co_return report.passed() ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace wisteriayard::ctl
