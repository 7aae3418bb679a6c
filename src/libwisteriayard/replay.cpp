#include "wisteriayard/replay.h"

#include <nlohmann/json.hpp>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    // Numbers of the evaluated events; docs/events.md lists all events.
    constexpr int requestAdmitted = 200;
    constexpr int requestRefused = 201;
    constexpr int keyWithdrawnInForce = 301;
    constexpr int requestClassified = 340;
    constexpr int usageCounted = 346;

    std::string text(const Json& fields, const char* name)
    {
        auto it = fields.find(name);
        return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string();
    }

    std::int64_t number(const Json& fields, const char* name)
    {
        auto it = fields.find(name);
        return it != fields.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
    }

    RequestAttributes requestAttributes(const Json& fields)
    {
        RequestAttributes attributes { TargetId(text(fields, "target")), text(fields, "method"), text(fields, "path"),
            {} };
        if (fields.contains("max_tokens"))
            attributes.maxTokens = Tokens(number(fields, "max_tokens"));
        return attributes;
    }

} // namespace

struct DecisionReplay::Line {
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::int64_t timeMs = 0;
    Json fields;

    std::pair<std::string, std::string> request() const { return { incarnation, text(fields, "request") }; }
};

DecisionReplay::DecisionReplay(ContractLookup contracts)
    : m_contracts(std::move(contracts))
{
}

void DecisionReplay::addLine(std::string_view lineText)
{
    Json json = Json::parse(lineText, nullptr, false);
    if (!json.is_object() || !json.contains("fields") || !json["fields"].is_object())
        return;
    Line line { text(json, "incarnation"), static_cast<std::uint64_t>(number(json, "seq")), number(json, "time_ms"),
        json["fields"] };
    switch (number(json, "event")) {
    case requestClassified:
        checkClassified(line);
        break;
    case requestRefused:
        checkRefused(line);
        break;
    case requestAdmitted:
        checkAdmitted(line);
        break;
    case usageCounted:
        addUsage(line);
        break;
    case keyWithdrawnInForce:
        m_withdrawnKeys.insert({ line.incarnation, text(line.fields, "key_hash") });
        break;
    default:
        break;
    }
}

std::string DecisionReplay::recomputeClass(const Line& line, const AccountId& account, std::string& problem) const
{
    Revision revision(number(line.fields, "contract_revision"));
    auto contract = m_contracts(account, revision);
    if (!contract && revision != Revision(0))
        problem = "the contract of " + account.value() + " at revision " + std::to_string(revision.value())
            + " is not known";
    const RequestClass* found = contract ? classify(*contract, requestAttributes(line.fields)) : nullptr;
    return found ? found->name.value() : std::string();
}

void DecisionReplay::checkClassified(const Line& line)
{
    ++m_decisionCount;
    const std::string logged = text(line.fields, "class");
    m_classified[line.request()] = { logged, number(line.fields, "contract_revision") };
    if (m_withdrawnKeys.count({ line.incarnation, text(line.fields, "key_hash") }))
        addFinding(line, "the key was withdrawn before, but the request was admitted");
    if (text(line.fields, "key_state") != "valid")
        addFinding(line, "the key is \"" + text(line.fields, "key_state") + "\", but the request was admitted");
    std::string problem;
    std::string now = recomputeClass(line, AccountId(text(line.fields, "account")), problem);
    if (!problem.empty())
        addFinding(line, problem);
    else if (now != logged)
        addFinding(line, "class " + logged + " is logged, but the contract gives \"" + now + "\"");
}

void DecisionReplay::checkRefused(const Line& line)
{
    const std::string rule = text(line.fields, "rule");
    if (rule == "key_not_valid") {
        ++m_decisionCount;
        std::string state = text(line.fields, "key_state");
        if (state != "unknown" && state != "withdrawn")
            addFinding(line, "refused for its key, but the key is \"" + state + "\"");
    } else if (rule == "no_class") {
        ++m_decisionCount;
        std::string problem;
        std::string now = recomputeClass(line, AccountId(text(line.fields, "account")), problem);
        if (!problem.empty() || !now.empty())
            addFinding(line, problem.empty() ? "refused, but the contract gives class " + now : problem);
    } else if (rule == "wait_exceeded") {
        ++m_decisionCount;
        if (number(line.fields, "waited_us") <= number(line.fields, "longest_wait_us"))
            addFinding(line, "refused for its wait, but it waited no longer than allowed");
        auto contract
            = m_contracts(AccountId(text(line.fields, "account")), Revision(number(line.fields, "contract_revision")));
        if (!contract) {
            addFinding(line, "the contract of the logged revision is not known");
            return;
        }
        for (const RequestClass& each : contract->classes) {
            if (each.name.value() == text(line.fields, "class")
                && each.longestWait.count() != number(line.fields, "longest_wait_us"))
                addFinding(line, "the longest wait is not the contract's");
        }
    }
}

void DecisionReplay::checkAdmitted(const Line& line)
{
    ++m_decisionCount;
    auto it = m_classified.find(line.request());
    if (it == m_classified.end())
        addFinding(line, "placed, but never classified");
    else if (it->second.requestClass != text(line.fields, "class")
        || it->second.revision != number(line.fields, "contract_revision"))
        addFinding(line, "placed under another class or contract revision than it was classified with");
}

void DecisionReplay::addUsage(const Line& line)
{
    UsageSum& sum = m_usage[{ text(line.fields, "account"), text(line.fields, "class"), line.timeMs / usageWindowMs }];
    sum.requests += number(line.fields, "requests");
    sum.outputTokens += number(line.fields, "output_tokens");
    m_classified.erase(line.request());
}

void DecisionReplay::addFinding(const Line& line, std::string message)
{
    m_findings.push_back({ line.incarnation, line.sequence, text(line.fields, "request"), std::move(message) });
}

} // namespace wisteriayard
