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

    /// What an audit found.
    struct AuditReport {
        std::vector<AuditFinding> chain;
        std::map<std::string, AuditLength> lengths;
        std::vector<ReplayFinding> replay;
        std::size_t decisions = 0;
        std::vector<std::string> usage;

        bool passed() const { return chain.empty() && replay.empty() && usage.empty(); }
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
        std::size_t at = 0;
        if (parts.size() > 1)
            anchor.incarnation = parts[at++];
        const std::string& digits = parts[at];
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), anchor.sequence);
        bool whole = error == std::errc() && end == digits.data() + digits.size();
        if (parts.size() > 3 || !whole || anchor.sequence == 0)
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
        for (const std::string& text : arguments.last) {
            BOOST_OUTCOME_TRY(auto anchor, parseAnchor(text));
            anchors.push_back(std::move(anchor));
        }
        AuditVerifier verifier;
        for (const std::string& file : arguments.words) {
            BOOST_OUTCOME_TRY(
                readLines(file, [&](std::size_t number, const std::string& line) { verifier.take(number, line); }));
        }
        report.chain = verifier.finish(anchors);
        report.lengths = verifier.lengths();
        return boost::outcome_v2::success();
    }

    using AccountClass = std::pair<std::string, std::string>;

    /// Reads `[{"account", "class", "requests", "output_tokens"}, …]`; several records of one class add up.
    Result<std::map<AccountClass, UsageSum>> readReports(const std::string& name)
    {
        std::ifstream file(name, std::ios::binary);
        Json list = file ? Json::parse(file, nullptr, false) : Json();
        if (!list.is_array())
            return fail(Errc::InvalidArgument, "--reports: " + name + " is not a JSON list");
        std::map<AccountClass, UsageSum> sums;
        for (std::size_t i = 0; i < list.size(); ++i) {
            const Json& item = list[i];
            auto has = [&](const char* field, bool text) {
                return item.is_object() && item.contains(field)
                    && (text ? item[field].is_string() : item[field].is_number_integer());
            };
            if (!has("account", true) || !has("class", true) || !has("requests", false) || !has("output_tokens", false))
                return fail(Errc::InvalidArgument,
                    "--reports: record " + std::to_string(i)
                        + " needs account and class (text), requests and output_tokens (whole numbers)");
            UsageSum& sum = sums[{ item["account"].get<std::string>(), item["class"].get<std::string>() }];
            sum.requests += item["requests"].get<std::int64_t>();
            sum.outputTokens += item["output_tokens"].get<std::int64_t>();
        }
        return sums;
    }

    /// Sums over all windows: a part that came late is reported in a later window.
    Status reconcile(const std::string& file, const DecisionReplay& replay, AuditReport& report)
    {
        BOOST_OUTCOME_TRY(auto reported, readReports(file));
        std::map<AccountClass, UsageSum> logged;
        for (const auto& [key, sum] : replay.usage()) {
            UsageSum& total = logged[{ key.account, key.requestClass }];
            total.requests += sum.requests;
            total.outputTokens += sum.outputTokens;
            reported.try_emplace({ key.account, key.requestClass });
        }
        for (const auto& [key, sum] : reported) {
            const UsageSum& own = logged[key];
            if (own == sum)
                continue;
            report.usage.push_back(key.first + " " + key.second + ": logged " + std::to_string(own.requests)
                + " requests and " + std::to_string(own.outputTokens) + " output tokens, reported "
                + std::to_string(sum.requests) + " and " + std::to_string(sum.outputTokens));
        }
        return boost::outcome_v2::success();
    }

    /// Recomputes what was asked for. @param contracts empty if decisions are not recomputed
    Status recompute(const Arguments& arguments, const ContractLibrary& contracts, AuditReport& report)
    {
        DecisionReplay replay([&](const AccountId& account, Revision revision) {
            auto it = contracts.find({ account.value(), revision.value() });
            return it == contracts.end() ? nullptr : it->second;
        });
        for (const std::string& file : arguments.words) {
            BOOST_OUTCOME_TRY(readLines(file, [&](std::size_t, const std::string& line) { replay.take(line); }));
        }
        if (arguments.replay) {
            report.replay = replay.findings();
            report.decisions = replay.decisions();
        }
        if (arguments.reports.empty())
            return boost::outcome_v2::success();
        return reconcile(arguments.reports, replay, report);
    }

    Json reportJson(const AuditReport& report)
    {
        Json json = { { "passed", report.passed() }, { "processes", Json::array() }, { "faults", Json::array() },
            { "decisions", report.decisions }, { "differing", Json::array() }, { "usage", report.usage } };
        for (const auto& [incarnation, length] : report.lengths)
            json["processes"].push_back({ { "incarnation", incarnation }, { "instance", length.instance },
                { "records", length.records }, { "last", length.lastSequence }, { "hash", length.head } });
        for (const AuditFinding& each : report.chain)
            json["faults"].push_back({ { "fault", auditFaultName(each.fault) }, { "incarnation", each.incarnation },
                { "seq", each.sequence }, { "line", each.line }, { "message", each.message } });
        for (const ReplayFinding& each : report.replay)
            json["differing"].push_back({ { "incarnation", each.incarnation }, { "seq", each.sequence },
                { "request", each.request }, { "message", each.message } });
        return json;
    }

    void printReport(const AuditReport& report, bool replayed)
    {
        for (const auto& [incarnation, length] : report.lengths)
            std::cout << length.instance << ' ' << incarnation << ": " << length.records << " records, last "
                      << length.lastSequence << ", hash " << length.head << '\n';
        for (const AuditFinding& each : report.chain)
            std::cout << "FAULT " << auditFaultName(each.fault) << ": " << each.incarnation << " record "
                      << each.sequence << (each.line ? ", line " + std::to_string(each.line) : "") << ": "
                      << each.message << '\n';
        for (const ReplayFinding& each : report.replay)
            std::cout << "DIFFERS " << each.incarnation << " record " << each.sequence << ", request " << each.request
                      << ": " << each.message << '\n';
        for (const std::string& each : report.usage)
            std::cout << "USAGE " << each << '\n';
        if (replayed)
            std::cout << report.decisions << " decisions recomputed, " << report.replay.size() << " differ\n";
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
        if (arguments.contracts.empty())
            library = co_await readLibrary(context.store);
        else
            library = loadLibrary(arguments.contracts);
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
