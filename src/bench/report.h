#pragma once

#include "world.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace wisteriayard::bench {

/// One run and what it was of.
struct RunRecord {
    std::string user;
    Scenario scenario = Scenario::OrdinaryDay;
    PolicyKind policy = PolicyKind::Core;
    unsigned seed = 0;
    RunFigures figures;
};

/// A policy target of the design page, checked over all seeds of a scenario.
struct TargetCheck {
    /// `user/scenario/target`.
    std::string name;
    double measured = 0;
    double bound = 0;
    bool atLeast = true;
    bool holds() const { return atLeast ? measured >= bound : measured <= bound; }
};

/// One JSON record per class of each run, and one of class `all`.
nlohmann::json toJson(const std::vector<RunRecord>& records);
/// Mean figures by user, scenario and policy.
void printTable(std::ostream& out, const std::vector<RunRecord>& records);
/// Checks every policy target that the runs cover.
std::vector<TargetCheck> checkTargets(const std::vector<RunRecord>& records);
/// Names of checks listed in KNOWN-RED.txt as `policy:user/scenario/target`.
std::set<std::string> readKnownRed(std::istream& in);
/// Writes data files and draws a chart of each figure; without gnuplot only the data files are written.
void writePlots(const std::string& directory, const std::vector<RunRecord>& records);

} // namespace wisteriayard::bench
