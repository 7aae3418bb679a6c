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

/// A logged decision that differs from the recomputed one or cannot be recomputed.
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

/// Recomputes logged decisions from the inputs logged with them, and sums the usage of finished requests.
class DecisionReplay {
public:
    /// Returns the contract of an account at a revision, or nullptr if it is unknown.
    using ContractLookup = std::function<std::shared_ptr<const Contract>(const AccountId&, Revision)>;
    /// Account, class and window (time divided by usageWindowMs).
    struct UsageKey {
        std::string account;
        std::string requestClass;
        std::int64_t window = 0;
        auto operator<=>(const UsageKey&) const = default;
    };

    explicit DecisionReplay(ContractLookup contracts);

    /// Processes one log line. The lines of each process must be added in order.
    void addLine(std::string_view line);

    /// Number of recomputed decisions.
    std::size_t decisionCount() const { return m_decisionCount; }
    const std::vector<ReplayFinding>& findings() const { return m_findings; }
    const std::map<UsageKey, UsageSum>& usage() const { return m_usage; }

private:
    struct Line;

    void checkClassified(const Line& line);
    void checkRefused(const Line& line);
    void checkAdmitted(const Line& line);
    void addUsage(const Line& line);
    std::string recomputeClass(const Line& line, const AccountId& account, std::string& problem) const;
    void addFinding(const Line& line, std::string message);

    ContractLookup m_contracts;
    std::size_t m_decisionCount = 0;
    std::vector<ReplayFinding> m_findings;
    std::map<UsageKey, UsageSum> m_usage;
    /// Pairs of incarnation and hash of a withdrawn key.
    std::set<std::pair<std::string, std::string>> m_withdrawnKeys;
    /// Logged class and contract revision of a request, compared with its later decisions.
    struct Classified {
        std::string requestClass;
        std::int64_t revision = 0;
    };
    std::map<std::pair<std::string, std::string>, Classified> m_classified;
};

} // namespace wisteriayard
