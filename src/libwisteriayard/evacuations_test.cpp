#define BOOST_TEST_MODULE evacuations
#include "wisteriayard/evacuations.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;

namespace {

constexpr Duration grace = milliseconds(6000);

TimePoint at(int ms) { return TimePoint(std::chrono::seconds(100) + milliseconds(ms)); }

std::set<ZoneId> zoneSet(const std::vector<std::string>& names)
{
    std::set<ZoneId> zones;
    for (const std::string& name : names)
        zones.insert(ZoneId(name));
    return zones;
}

std::set<ZoneId> evacuated(const Evacuations& evacuations)
{
    std::set<ZoneId> zones;
    for (const auto& [zone, graceEnd] : evacuations.zones())
        zones.insert(zone);
    return zones;
}

enum class StepKind {
    /// A complete read.
    Read,
    /// Changes from a watch or an observer, or from a comparison with a read. Removed zones start with `-`.
    Changes,
    Expire,
};

struct Step {
    StepKind kind;
    int atMs;
    std::int64_t era;
    std::vector<std::string> zones;
    /// Zones that are evacuated after the step.
    std::vector<std::string> evacuated;
};

struct Case {
    const char* name;
    std::vector<Step> steps;
};
std::ostream& operator<<(std::ostream& out, const Case& each) { return out << each.name; }

const std::vector<Case> cases {
    { "nothing requested", { { StepKind::Read, 0, 1, {}, {} }, { StepKind::Changes, 10, 1, {}, {} } } },
    { "found by the first read", { { StepKind::Read, 0, 1, { "a" }, { "a" } } } },
    { "requested and withdrawn by changes",
        { { StepKind::Read, 0, 1, {}, {} }, { StepKind::Changes, 10, 1, { "a" }, { "a" } },
            { StepKind::Changes, 20, 1, { "a" }, { "a" } }, { StepKind::Changes, 30, 1, { "-a" }, {} },
            { StepKind::Changes, 40, 1, { "-a" }, {} } } },
    { "two zones at once",
        { { StepKind::Read, 0, 1, { "a" }, { "a" } }, { StepKind::Changes, 10, 1, { "b" }, { "a", "b" } },
            { StepKind::Changes, 20, 1, { "-a" }, { "b" } } } },
    { "several changes of a zone in their order",
        { { StepKind::Read, 0, 1, {}, {} }, { StepKind::Changes, 10, 1, { "a", "-a", "a" }, { "a" } },
            { StepKind::Changes, 20, 1, { "-a", "a", "-a" }, {} } } },
    { "withdrawn while the history was lost",
        { { StepKind::Read, 0, 1, { "a", "b" }, { "a", "b" } }, { StepKind::Read, 10, 1, { "b" }, { "b" } } } },
    { "a complete read of a restored store lacks it",
        { { StepKind::Read, 0, 1, { "a", "b" }, { "a", "b" } }, { StepKind::Read, 1000, 2, { "b" }, { "a", "b" } },
            { StepKind::Expire, 6999, 2, {}, { "a", "b" } }, { StepKind::Expire, 7000, 2, {}, { "b" } } } },
    { "a comparison with a restored store lacks it",
        { { StepKind::Read, 0, 1, { "a", "b" }, { "a", "b" } },
            { StepKind::Changes, 1000, 2, { "-a", "b" }, { "a", "b" } },
            { StepKind::Expire, 6999, 2, {}, { "a", "b" } }, { StepKind::Expire, 7000, 2, {}, { "b" } } } },
    { "written again after a restoration",
        { { StepKind::Read, 0, 1, { "a" }, { "a" } }, { StepKind::Read, 1000, 2, {}, { "a" } },
            { StepKind::Changes, 3000, 2, { "a" }, { "a" } }, { StepKind::Expire, 8000, 2, {}, { "a" } },
            { StepKind::Changes, 9000, 2, { "-a" }, {} } } },
    { "written again and withdrawn within the grace period",
        { { StepKind::Read, 0, 1, { "a" }, { "a" } }, { StepKind::Read, 1000, 2, {}, { "a" } },
            { StepKind::Changes, 3000, 2, { "a" }, { "a" } }, { StepKind::Changes, 3500, 2, { "-a" }, {} } } },
    { "read again within the grace period",
        { { StepKind::Read, 0, 1, { "a" }, { "a" } }, { StepKind::Read, 1000, 2, {}, { "a" } },
            { StepKind::Read, 4000, 2, {}, { "a" } }, { StepKind::Expire, 7000, 2, {}, {} } } },
    { "restored again within the grace period",
        { { StepKind::Read, 0, 1, { "a" }, { "a" } }, { StepKind::Changes, 1000, 2, { "-a" }, { "a" } },
            { StepKind::Changes, 5000, 3, {}, { "a" } }, { StepKind::Expire, 10999, 3, {}, { "a" } },
            { StepKind::Expire, 11000, 3, {}, {} } } },
    { "a restored store has it again after it was withdrawn",
        { { StepKind::Read, 0, 1, { "a" }, { "a" } }, { StepKind::Changes, 10, 1, { "-a" }, {} },
            { StepKind::Read, 1000, 2, { "a" }, { "a" } }, { StepKind::Changes, 3000, 2, { "-a" }, {} } } },
    { "changes of a former era arrive late",
        { { StepKind::Read, 0, 2, { "a" }, { "a" } }, { StepKind::Changes, 10, 1, { "-a", "b" }, { "a" } } } },
};

} // namespace

// Guards against requests to a zone that the operator has evacuated, and against one that stays evacuated for ever.
BOOST_DATA_TEST_CASE(zones_follow_reads_and_changes, data::make(cases))
{
    Evacuations evacuations(grace);
    for (const Step& step : sample.steps) {
        if (step.kind == StepKind::Read) {
            evacuations.replace(zoneSet(step.zones), StoreEra(step.era), at(step.atMs));
        } else if (step.kind == StepKind::Expire) {
            evacuations.expire(at(step.atMs));
        } else {
            std::vector<EvacuationChange> changes;
            for (const std::string& zone : step.zones) {
                bool removed = zone.front() == '-';
                changes.push_back({ ZoneId(removed ? zone.substr(1) : zone), removed });
            }
            evacuations.apply(changes, StoreEra(step.era), at(step.atMs));
        }
        BOOST_TEST((evacuated(evacuations) == zoneSet(step.evacuated)), "step at " << step.atMs << " ms");
    }
}

// Guards against a grace period that is not reported, so that an operator can't tell why a zone is still evacuated.
BOOST_AUTO_TEST_CASE(end_of_a_grace_period_is_known)
{
    Evacuations evacuations(grace);
    evacuations.replace(zoneSet({ "a", "b" }), StoreEra(1), at(0));
    evacuations.replace(zoneSet({ "b" }), StoreEra(2), at(500));
    BOOST_TEST((evacuations.zones().at(ZoneId("a")) == at(6500)));
    BOOST_TEST(!evacuations.zones().at(ZoneId("b")).has_value());
}
