#pragma once

#include "simulation.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace wisteriayard::bench {

/// Metrics of a run and its parameters.
struct RunRecord {
    std::string user;
    Scenario scenario = Scenario::OrdinaryDay;
    PolicyKind policy = PolicyKind::Core;
    unsigned seed = 0;
    RunMetrics metrics;
};

/// A policy target of the design documentation, evaluated over all seeds of a scenario.
struct TargetCheck {
    /// `user/scenario/target`.
    std::string name;
    double measured = 0;
    double bound = 0;
    bool atLeast = true;
    bool holds() const { return atLeast ? measured >= bound : measured <= bound; }
};

/// Returns one JSON record per class of each run, and one for the class `all`.
nlohmann::json toJson(const std::vector<RunRecord>& records);
/// Prints the metrics by user, scenario, policy and class.
void printTable(std::ostream& out, const std::vector<RunRecord>& records);
/// Evaluates the policy targets of all scenarios that were run.
std::vector<TargetCheck> checkTargets(const std::vector<RunRecord>& records);
/// Reads the names of the targets that KNOWN-RED.txt lists as `policy:user/scenario/target`.
std::set<std::string> readKnownRed(std::istream& in);
/// Writes a data file and a gnuplot script for a goodput chart of each user.
void writePlots(const std::string& directory, const std::vector<RunRecord>& records);

} // namespace wisteriayard::bench
