// Compares the scheduling core with simple baselines on identical arrivals, in virtual time.
#include "report.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

using namespace wisteriayard;
using namespace wisteriayard::bench;

struct Options {
    bool check = false;
    bool trace = false;
    int seeds = 5;
    unsigned firstSeed = 1;
    int seconds = 300;
    int monthEndSeconds = 7200;
    int threads = 3;
    std::string scenario;
    std::string user;
    std::string output = "build/bench/policy.json";
    std::string knownRed = "KNOWN-RED.txt";
};

/// Parameters of a set of arrivals that every policy is run on.
struct Task {
    Deployment deployment;
    Scenario scenario;
    unsigned seed;
    Duration length;
};

bool readOptions(int argc, char** argv, Options& options)
{
    namespace po = boost::program_options;
    po::options_description description("policy_bench");
    auto add = description.add_options();
    add("help", "shows the options");
    add("check", po::bool_switch(&options.check), "short fixed runs; fails if a policy target is missed");
    add("trace", po::bool_switch(&options.trace), "prints each dispatch of the core to standard error");
    add("seeds", po::value(&options.seeds)->default_value(options.seeds), "seeds of each scenario");
    add("first-seed", po::value(&options.firstSeed)->default_value(options.firstSeed), "first seed");
    add("seconds", po::value(&options.seconds)->default_value(options.seconds), "virtual time of a scenario");
    add("month-end-seconds", po::value(&options.monthEndSeconds)->default_value(options.monthEndSeconds),
        "virtual time of month_end");
    add("threads", po::value(&options.threads)->default_value(options.threads), "runs at once");
    add("scenario", po::value(&options.scenario), "only this scenario");
    add("user", po::value(&options.user), "only this user: nadira or malarstrand");
    add("output", po::value(&options.output)->default_value(options.output), "file of the records");
    add("known-red", po::value(&options.knownRed)->default_value(options.knownRed), "list of known faults");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (!values.count("help"))
            return true;
        std::cout << description;
    } catch (const po::error& error) {
        std::cerr << "policy_bench: " << error.what() << '\n';
    }
    return false;
}

std::vector<Task> makeTasks(const Options& options)
{
    std::vector<Task> tasks;
    for (const Deployment& deployment : { nadira(), malarstrand() }) {
        for (int s = 0; s < scenarioCount; ++s) {
            auto scenario = static_cast<Scenario>(s);
            bool wanted = (options.scenario.empty() || options.scenario == scenarioName(scenario))
                && (options.user.empty() || options.user == deployment.name);
            if (!wanted)
                continue;
            int seconds = scenario == Scenario::MonthEnd ? options.monthEndSeconds : options.seconds;
            // One run at this scale has as many requests as all seeds of another scenario.
            if (scenario == Scenario::ScaleStep)
                seconds = std::max(1, options.seconds / 5);
            for (int i = 0; i < options.seeds; ++i)
                tasks.push_back({ scenario == Scenario::ScaleStep ? scaled(deployment) : deployment, scenario,
                    options.firstSeed + static_cast<unsigned>(i), std::chrono::seconds(seconds) });
        }
    }
    return tasks;
}

std::vector<RunRecord> runTask(const Task& task, bool trace)
{
    std::vector<Arrival> arrivals = makeArrivals(task.deployment, task.scenario, task.length, task.seed);
    std::vector<RunRecord> records;
    for (int p = 0; p < policyCount; ++p) {
        auto policy = static_cast<PolicyKind>(p);
        RunSettings settings { task.scenario, policy, task.seed, task.length, trace && policy == PolicyKind::Core };
        Simulation simulation(task.deployment, arrivals, settings);
        records.push_back({ task.deployment.name, task.scenario, policy, task.seed, simulation.run() });
    }
    return records;
}

std::vector<RunRecord> runAll(const std::vector<Task>& tasks, const Options& options)
{
    std::vector<std::vector<RunRecord>> results(tasks.size());
    std::atomic<std::size_t> next { 0 };
    auto work = [&] {
        for (std::size_t i = next++; i < tasks.size(); i = next++)
            results[i] = runTask(tasks[i], options.trace);
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < options.threads; ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    std::vector<RunRecord> records;
    for (auto& result : results)
        std::move(result.begin(), result.end(), std::back_inserter(records));
    return records;
}

/// Prints the missed targets.
/// @return number of missed targets that are not listed as known
int printChecks(const std::vector<TargetCheck>& checks, const std::set<std::string>& known)
{
    int missed = 0;
    std::size_t held = 0;
    for (const TargetCheck& check : checks) {
        if (check.holds()) {
            ++held;
            continue;
        }
        bool isKnown = known.count(check.name) != 0;
        missed += !isKnown;
        std::cout << (isKnown ? "known red: " : "MISSED: ") << check.name << " measured " << std::setprecision(5)
                  << check.measured << ", target " << (check.atLeast ? "at least " : "at most ") << check.bound << '\n';
    }
    std::cout << held << " of " << checks.size() << " targets hold\n";
    return missed;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    if (!readOptions(argc, argv, options))
        return 2;
    if (options.check) {
        options.seeds = 1;
        options.seconds = 300;
        options.monthEndSeconds = 600;
    }
    std::vector<RunRecord> records = runAll(makeTasks(options), options);
    printTable(std::cout, records);
    std::ofstream(options.output) << toJson(records).dump(1) << '\n';
    std::size_t slash = options.output.rfind('/');
    writePlots(slash == std::string::npos ? "." : options.output.substr(0, slash), records);
    std::ifstream knownFile(options.knownRed);
    int missed = printChecks(checkTargets(records), readKnownRed(knownFile));
    return options.check && missed > 0 ? 1 : 0;
}
