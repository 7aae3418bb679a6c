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

    /// Least number of requests for an account's attainment to be compared: below it one late request decides.
    constexpr std::int64_t leastForAccount = 20;

    bool withinContract(Scenario scenario, std::size_t account)
    {
        return scenario != Scenario::AccountFlood || account != static_cast<std::size_t>(floodingAccount);
    }

    std::vector<double> accountAttainments(const ClassFigures& figures, Scenario scenario)
    {
        std::vector<double> values;
        for (std::size_t a = 0; a < figures.byAccount.size(); ++a) {
            auto [submitted, met] = figures.byAccount[a];
            if (submitted >= leastForAccount && withinContract(scenario, a))
                values.push_back(static_cast<double>(met) / static_cast<double>(submitted));
        }
        std::sort(values.begin(), values.end());
        return values;
    }

    void add(ClassFigures& sum, const ClassFigures& part)
    {
        sum.submitted += part.submitted;
        sum.met += part.met;
        sum.goodTokens += part.goodTokens;
        sum.computedTokens += part.computedTokens;
        sum.wastedTokens += part.wastedTokens;
        sum.shed += part.shed;
        sum.notRunRefusals += part.notRunRefusals;
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

    /// Classes of one name over several models are one class.
    std::vector<ClassFigures> mergedClasses(const RunFigures& figures)
    {
        std::vector<ClassFigures> merged;
        for (const ClassFigures& each : figures.classes) {
            auto same = [&](const ClassFigures& other) { return other.name == each.name; };
            auto it = std::find_if(merged.begin(), merged.end(), same);
            if (it == merged.end())
                merged.push_back(each);
            else
                add(*it, each);
        }
        return merged;
    }

    ClassFigures total(const std::vector<ClassFigures>& classes)
    {
        ClassFigures sum;
        sum.name = "all";
        for (const ClassFigures& each : classes)
            add(sum, each);
        return sum;
    }

    Json record(const RunRecord& run, const ClassFigures& figures)
    {
        std::vector<double> accounts = accountAttainments(figures, run.scenario);
        constexpr double mega = 1e6;
        return { { "user", run.user }, { "scenario", scenarioName(run.scenario) }, { "policy", policyName(run.policy) },
            { "seed", run.seed }, { "class", figures.name }, { "submitted", figures.submitted },
            { "attainment", ratio(figures.met, figures.submitted, 1) },
            { "goodput_tokens_per_s", figures.goodTokens / run.figures.seconds },
            { "wasted_work_ratio", ratio(figures.wastedTokens, figures.computedTokens, 0) },
            { "worst_account_attainment", accounts.empty() ? 1.0 : accounts.front() },
            { "median_account_attainment", accounts.empty() ? 1.0 : accounts[accounts.size() / 2] },
            { "spend_endpoint_s", figures.spendSeconds }, { "spend_lower_bound_endpoint_s", figures.lowerBoundSeconds },
            { "cross_region_mb", figures.crossRegionBytes / mega },
            { "max_wait_s", std::chrono::duration<double>(figures.maxWait).count() }, { "shed", figures.shed },
            { "not_run_refusals", figures.notRunRefusals }, { "preempted", figures.preempted },
            { "failed", figures.failed } };
    }

    /// Sum of all seeds' figures of one user, scenario and policy, by class; the last is the total.
    struct Summary {
        std::string user;
        Scenario scenario;
        PolicyKind policy;
        std::vector<ClassFigures> classes;
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
            it->seconds += run.figures.seconds;
            std::vector<ClassFigures> classes = mergedClasses(run.figures);
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

    double attainmentWithinContract(const ClassFigures& figures, Scenario scenario)
    {
        std::int64_t submitted = 0;
        std::int64_t met = 0;
        for (std::size_t a = 0; a < figures.byAccount.size(); ++a) {
            if (!withinContract(scenario, a))
                continue;
            submitted += figures.byAccount[a].first;
            met += figures.byAccount[a].second;
        }
        return ratio(met, submitted, 1);
    }

    bool singleFault(Scenario scenario)
    {
        return scenario != Scenario::OrdinaryDay && scenario != Scenario::MonthEnd
            && scenario != Scenario::BurstAndCrashes && scenario != Scenario::ScaleStep;
    }

    void checkClass(const Summary& summary, const ClassFigures& figures, const std::string& prefix,
        std::vector<TargetCheck>& checks)
    {
        std::string name = prefix + figures.name;
        double attainment = attainmentWithinContract(figures, summary.scenario);
        if (figures.tier == Tier::Top) {
            checks.push_back({ name + "_shed", double(figures.shed), 0, false });
            checks.push_back({ name + "_preempted", double(figures.preempted), 0, false });
            checks.push_back({ name + "_attainment", attainment, 0.999, true });
        } else if (figures.tier == Tier::Interactive) {
            if (summary.scenario == Scenario::OrdinaryDay || summary.scenario == Scenario::ScaleStep)
                checks.push_back({ name + "_attainment", attainment, 0.99, true });
            if (singleFault(summary.scenario))
                checks.push_back({ name + "_attainment", attainment, 0.95, true });
        }
        auto seconds = [](Duration time) { return std::chrono::duration<double>(time).count(); };
        checks.push_back({ name + "_max_wait", seconds(figures.maxWait), seconds(figures.longestWait), false });
    }

    double goodput(const Summary& summary) { return summary.classes.back().goodTokens / summary.seconds; }

    void checkSummary(const Summary& summary, const std::vector<Summary>& all, std::vector<TargetCheck>& checks)
    {
        std::string prefix = summary.user + "/" + scenarioName(summary.scenario) + "/";
        for (std::size_t c = 0; c + 1 < summary.classes.size(); ++c)
            checkClass(summary, summary.classes[c], prefix, checks);
        const ClassFigures& sum = summary.classes.back();
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
        std::vector<ClassFigures> classes = mergedClasses(run.figures);
        classes.push_back(total(classes));
        for (const ClassFigures& figures : classes)
            list.push_back(record(run, figures));
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
        for (const ClassFigures& figures : summary.classes) {
            std::vector<double> accounts = accountAttainments(figures, summary.scenario);
            out << std::left << std::setw(12) << summary.user << std::setw(18) << scenarioName(summary.scenario)
                << std::setw(27) << policyName(summary.policy) << std::setw(9) << figures.name << std::right
                << std::setw(9) << figures.submitted << std::setprecision(4) << std::setw(8)
                << ratio(figures.met, figures.submitted, 1) << std::setprecision(0) << std::setw(9)
                << figures.goodTokens / summary.seconds << std::setprecision(3) << std::setw(7)
                << ratio(figures.wastedTokens, figures.computedTokens, 0) << std::setw(7)
                << (accounts.empty() ? 1.0 : accounts.front()) << std::setprecision(1) << std::setw(8)
                << figures.crossRegionBytes / 1e6 << std::setw(8)
                << std::chrono::duration<double>(figures.maxWait).count() << std::setw(8) << figures.shed
                << std::setw(8) << figures.preempted << '\n';
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
