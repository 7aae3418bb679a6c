#pragma once

#include "wisteriayard/contract.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriayard {

/// A logged decision that differs from the recomputed one, or that can't be recomputed.
struct ReplayFinding {
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::string request;
    std::string message;
};

/// Requests and tokens of an account and class in one usage window.
struct UsageSum {
    std::int64_t requests = 0;
    std::int64_t outputTokens = 0;
    bool operator==(const UsageSum&) const = default;
};

/// Length of a usage window.
inline constexpr std::int64_t usageWindowMs = 60'000;

/// Recomputes logged decisions from the inputs that stand beside them, and sums finished requests.
class DecisionReplay {
public:
    /// Finds the contract of an account at a revision; nullptr if it is not known.
    using ContractLookup = std::function<std::shared_ptr<const Contract>(const AccountId&, Revision)>;
    /// Account, class and window (time divided by usageWindowMs).
    struct UsageKey {
        std::string account;
        std::string requestClass;
        std::int64_t window = 0;
        auto operator<=>(const UsageKey&) const = default;
    };

    explicit DecisionReplay(ContractLookup contracts);

    /// Takes in one line of a log; the lines of a process come in order.
    void take(std::string_view line);

    /// Decisions that were recomputed.
    std::size_t decisions() const { return m_decisions; }
    const std::vector<ReplayFinding>& findings() const { return m_findings; }
    const std::map<UsageKey, UsageSum>& usage() const { return m_usage; }

private:
    struct Line;

    void checkClassified(const Line& line);
    void checkRefused(const Line& line);
    void checkPlaced(const Line& line);
    void addUsage(const Line& line);
    std::string classNow(const Line& line, const AccountId& account, std::string& problem) const;
    void differs(const Line& line, std::string message);

    ContractLookup m_contracts;
    std::size_t m_decisions = 0;
    std::vector<ReplayFinding> m_findings;
    std::map<UsageKey, UsageSum> m_usage;
    /// Withdrawn keys by incarnation.
    std::set<std::pair<std::string, std::string>> m_withdrawn;
    /// Class and revision of each request by incarnation, for the decisions that follow.
    struct Classified {
        std::string requestClass;
        std::int64_t revision = 0;
    };
    std::map<std::pair<std::string, std::string>, Classified> m_classified;
};

} // namespace wisteriayard
