#include "report.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <istream>
#include <ostream>

namespace wisteriayard::bench {

namespace {

    using Json = nlohmann::json;

    double ratio(double part, double whole, double ifEmpty) { return whole > 0 ? part / whole : ifEmpty; }

    /// Minimum number of requests for comparing an account's attainment; with fewer, a single late request dominates.
    constexpr std::int64_t minRequestsPerAccount = 20;

    bool withinContract(Scenario scenario, std::size_t account)
    {
        return scenario != Scenario::AccountFlood || account != static_cast<std::size_t>(floodingAccount);
    }

    std::vector<double> accountAttainments(const ClassMetrics& metrics, Scenario scenario)
    {
        std::vector<double> values;
        for (std::size_t a = 0; a < metrics.byAccount.size(); ++a) {
            auto [submitted, met] = metrics.byAccount[a];
            if (submitted >= minRequestsPerAccount && withinContract(scenario, a))
                values.push_back(static_cast<double>(met) / static_cast<double>(submitted));
        }
        std::sort(values.begin(), values.end());
        return values;
    }

    void add(ClassMetrics& sum, const ClassMetrics& part)
    {
        sum.submitted += part.submitted;
        sum.met += part.met;
        sum.goodTokens += part.goodTokens;
        sum.computedTokens += part.computedTokens;
        sum.wastedTokens += part.wastedTokens;
        sum.shed += part.shed;
        sum.notExecutedRefusals += part.notExecutedRefusals;
        sum.preempted += part.preempted;
        sum.failed += part.failed;
        sum.crossRegionBytes += part.crossRegionBytes;
        sum.maxWait = std::max(sum.maxWait, part.maxWait);
        sum.lowerBoundSeconds += part.lowerBoundSeconds;
        sum.spendSeconds += part.spendSeconds;
        sum.byAccount.resize(std::max(sum.byAccount.size(), part.byAccount.size()));
        for (std::size_t a = 0; a < part.byAccount.size(); ++a) {
            sum.byAccount[a].first += part.byAccount[a].first;
            sum.byAccount[a].second += part.byAccount[a].second;
        }
    }

    /// Merges classes of the same name that serve different models.
    std::vector<ClassMetrics> mergedClasses(const RunMetrics& metrics)
    {
        std::vector<ClassMetrics> merged;
        for (const ClassMetrics& each : metrics.classes) {
            auto same = [&](const ClassMetrics& other) { return other.name == each.name; };
            auto it = std::find_if(merged.begin(), merged.end(), same);
            if (it == merged.end())
                merged.push_back(each);
            else
                add(*it, each);
        }
        return merged;
    }

    ClassMetrics total(const std::vector<ClassMetrics>& classes)
    {
        ClassMetrics sum;
        sum.name = "all";
        for (const ClassMetrics& each : classes)
            add(sum, each);
        return sum;
    }

    Json record(const RunRecord& run, const ClassMetrics& metrics)
    {
        std::vector<double> accounts = accountAttainments(metrics, run.scenario);
        constexpr double mega = 1e6;
        return { { "user", run.user }, { "scenario", scenarioName(run.scenario) }, { "policy", policyName(run.policy) },
            { "seed", run.seed }, { "class", metrics.name }, { "submitted", metrics.submitted },
            { "attainment", ratio(metrics.met, metrics.submitted, 1) },
            { "goodput_tokens_per_s", metrics.goodTokens / run.metrics.seconds },
            { "wasted_work_ratio", ratio(metrics.wastedTokens, metrics.computedTokens, 0) },
            { "worst_account_attainment", accounts.empty() ? 1.0 : accounts.front() },
            { "median_account_attainment", accounts.empty() ? 1.0 : accounts[accounts.size() / 2] },
            { "spend_endpoint_s", metrics.spendSeconds }, { "spend_lower_bound_endpoint_s", metrics.lowerBoundSeconds },
            { "cross_region_mb", metrics.crossRegionBytes / mega },
            { "max_wait_s", std::chrono::duration<double>(metrics.maxWait).count() }, { "shed", metrics.shed },
            { "not_run_refusals", metrics.notExecutedRefusals }, { "preempted", metrics.preempted },
            { "failed", metrics.failed } };
    }

    /// Metrics of one user, scenario and policy, summed over all seeds. The last class is the total.
    struct Summary {
        std::string user;
        Scenario scenario;
        PolicyKind policy;
        std::vector<ClassMetrics> classes;
        double seconds = 0;
    };

    std::vector<Summary> summarize(const std::vector<RunRecord>& records)
    {
        std::vector<Summary> summaries;
        for (const RunRecord& run : records) {
            auto same = [&](const Summary& each) {
                return each.user == run.user && each.scenario == run.scenario && each.policy == run.policy;
            };
            auto it = std::find_if(summaries.begin(), summaries.end(), same);
            if (it == summaries.end())
                it = summaries.insert(it, { run.user, run.scenario, run.policy, {}, 0 });
            it->seconds += run.metrics.seconds;
            std::vector<ClassMetrics> classes = mergedClasses(run.metrics);
            classes.push_back(total(classes));
            if (it->classes.empty()) {
                it->classes = classes;
                continue;
            }
            for (std::size_t c = 0; c < classes.size(); ++c)
                add(it->classes[c], classes[c]);
        }
        return summaries;
    }

    double attainmentWithinContract(const ClassMetrics& metrics, Scenario scenario)
    {
        std::int64_t submitted = 0;
        std::int64_t met = 0;
        for (std::size_t a = 0; a < metrics.byAccount.size(); ++a) {
            if (!withinContract(scenario, a))
                continue;
            submitted += metrics.byAccount[a].first;
            met += metrics.byAccount[a].second;
        }
        return ratio(met, submitted, 1);
    }

    bool singleFault(Scenario scenario)
    {
        return scenario != Scenario::OrdinaryDay && scenario != Scenario::MonthEnd
            && scenario != Scenario::BurstAndCrashes && scenario != Scenario::ScaleStep;
    }

    void checkClass(const Summary& summary, const ClassMetrics& metrics, const std::string& prefix,
        std::vector<TargetCheck>& checks)
    {
        std::string name = prefix + metrics.name;
        double attainment = attainmentWithinContract(metrics, summary.scenario);
        if (metrics.tier == Tier::Top) {
            checks.push_back({ name + "_shed", double(metrics.shed), 0, false });
            checks.push_back({ name + "_preempted", double(metrics.preempted), 0, false });
            checks.push_back({ name + "_attainment", attainment, 0.999, true });
        } else if (metrics.tier == Tier::Interactive) {
            if (summary.scenario == Scenario::OrdinaryDay || summary.scenario == Scenario::ScaleStep)
                checks.push_back({ name + "_attainment", attainment, 0.99, true });
            if (singleFault(summary.scenario))
                checks.push_back({ name + "_attainment", attainment, 0.95, true });
        }
        auto seconds = [](Duration time) { return std::chrono::duration<double>(time).count(); };
        checks.push_back({ name + "_max_wait", seconds(metrics.maxWait), seconds(metrics.longestWait), false });
    }

    double goodput(const Summary& summary) { return summary.classes.back().goodTokens / summary.seconds; }

    void checkSummary(const Summary& summary, const std::vector<Summary>& all, std::vector<TargetCheck>& checks)
    {
        std::string prefix = summary.user + "/" + scenarioName(summary.scenario) + "/";
        for (std::size_t c = 0; c + 1 < summary.classes.size(); ++c)
            checkClass(summary, summary.classes[c], prefix, checks);
        const ClassMetrics& sum = summary.classes.back();
        std::vector<double> accounts = accountAttainments(sum, summary.scenario);
        if (!accounts.empty())
            checks.push_back({ prefix + "worst_account", accounts.front(), 0.9 * accounts[accounts.size() / 2], true });
        checks.push_back({ prefix + "wasted_work", ratio(sum.wastedTokens, sum.computedTokens, 0), 0.02, false });
        if (summary.scenario == Scenario::OrdinaryDay)
            checks.push_back({ prefix + "spend", ratio(sum.spendSeconds, sum.lowerBoundSeconds, 1), 1.15, false });
        double best = 0;
        double fifo = 0;
        for (const Summary& other : all) {
            if (other.user != summary.user || other.scenario != summary.scenario || other.policy == PolicyKind::Core)
                continue;
            best = std::max(best, goodput(other));
            if (other.policy != PolicyKind::PriorityLeastOutstanding)
                fifo = std::max(fifo, goodput(other));
        }
        checks.push_back({ prefix + "goodput_best_baseline", goodput(summary), best, true });
        if (summary.scenario == Scenario::MonthEnd)
            checks.push_back({ prefix + "goodput_fifo", goodput(summary), 1.5 * fifo, true });
    }

} // namespace

Json toJson(const std::vector<RunRecord>& records)
{
    Json list = Json::array();
    for (const RunRecord& run : records) {
        std::vector<ClassMetrics> classes = mergedClasses(run.metrics);
        classes.push_back(total(classes));
        for (const ClassMetrics& metrics : classes)
            list.push_back(record(run, metrics));
    }
    return list;
}

void printTable(std::ostream& out, const std::vector<RunRecord>& records)
{
    out << std::left << std::setw(12) << "user" << std::setw(18) << "scenario" << std::setw(27) << "policy"
        << std::setw(9) << "class" << std::right << std::setw(9) << "requests" << std::setw(8) << "attain"
        << std::setw(9) << "tokens/s" << std::setw(7) << "waste" << std::setw(7) << "worst" << std::setw(8) << "MB"
        << std::setw(8) << "wait_s" << std::setw(8) << "shed" << std::setw(8) << "preempt" << '\n'
        << std::fixed;
    for (const Summary& summary : summarize(records)) {
        for (const ClassMetrics& metrics : summary.classes) {
            std::vector<double> accounts = accountAttainments(metrics, summary.scenario);
            out << std::left << std::setw(12) << summary.user << std::setw(18) << scenarioName(summary.scenario)
                << std::setw(27) << policyName(summary.policy) << std::setw(9) << metrics.name << std::right
                << std::setw(9) << metrics.submitted << std::setprecision(4) << std::setw(8)
                << ratio(metrics.met, metrics.submitted, 1) << std::setprecision(0) << std::setw(9)
                << metrics.goodTokens / summary.seconds << std::setprecision(3) << std::setw(7)
                << ratio(metrics.wastedTokens, metrics.computedTokens, 0) << std::setw(7)
                << (accounts.empty() ? 1.0 : accounts.front()) << std::setprecision(1) << std::setw(8)
                << metrics.crossRegionBytes / 1e6 << std::setw(8)
                << std::chrono::duration<double>(metrics.maxWait).count() << std::setw(8) << metrics.shed
                << std::setw(8) << metrics.preempted << '\n';
        }
    }
}

std::vector<TargetCheck> checkTargets(const std::vector<RunRecord>& records)
{
    std::vector<Summary> summaries = summarize(records);
    std::vector<TargetCheck> checks;
    for (const Summary& summary : summaries) {
        if (summary.policy == PolicyKind::Core)
            checkSummary(summary, summaries, checks);
    }
    return checks;
}

std::set<std::string> readKnownRed(std::istream& in)
{
    static constexpr std::string_view mark = "policy:";
    std::set<std::string> names;
    std::string word;
    while (in >> word) {
        if (word.substr(0, mark.size()) == mark)
            names.insert(word.substr(mark.size()));
    }
    return names;
}

void writePlots(const std::string& directory, const std::vector<RunRecord>& records)
{
    std::vector<Summary> summaries = summarize(records);
    for (const char* user : { "nadira", "malarstrand" }) {
        std::string base = directory + "/policy-" + user;
        std::ofstream data(base + ".dat");
        std::ofstream script(base + ".gp");
        data << "scenario";
        for (int p = 0; p < policyCount; ++p)
            data << ' ' << policyName(static_cast<PolicyKind>(p));
        data << '\n';
        for (int s = 0; s < scenarioCount; ++s) {
            data << scenarioName(static_cast<Scenario>(s));
            for (int p = 0; p < policyCount; ++p) {
                auto same = [&](const Summary& each) {
                    return each.user == user && each.scenario == static_cast<Scenario>(s)
                        && each.policy == static_cast<PolicyKind>(p);
                };
                auto it = std::find_if(summaries.begin(), summaries.end(), same);
                data << ' ' << (it == summaries.end() ? 0.0 : goodput(*it));
            }
            data << '\n';
        }
        script << "set terminal pngcairo size 1400,700\nset output '" << base << ".png'\nset style data histograms\n"
               << "set style fill solid\nset xtics rotate by -30\nset ylabel 'goodput, tokens/s'\nset title '" << user
               << "'\nplot for [i=2:" << policyCount + 1 << "] '" << base
               << ".dat' using i:xtic(1) title columnheader(i) noenhanced\n";
    }
}

} // namespace wisteriayard::bench
