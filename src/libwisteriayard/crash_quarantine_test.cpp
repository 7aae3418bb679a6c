#define BOOST_TEST_MODULE crash_quarantine
#include "wisteriayard/crash_quarantine.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace wisteriayard;
namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr SuspectTag shared { 1 };
constexpr SuspectTag deadly { 2 };
constexpr SuspectTag other { 3 };

TimePoint at(int ms) { return TimePoint(seconds(1000) + milliseconds(ms)); }
TrialTurn firstTurn(SuspectTag) { return {}; }

enum class Kind { Crash, Answer };
struct Step {
    int ms;
    Kind kind;
    /// Which endpoint crashed.
    std::uint32_t endpoint;
};

struct VerdictCase {
    const char* name;
    std::vector<Step> steps;
    bool quarantined;
    bool mayRetry;
};
std::ostream& operator<<(std::ostream& out, const VerdictCase& each) { return out << each.name; }

const VerdictCase verdictCases[] = {
    { "nothing", {}, false, true },
    { "one_crash", { { 0, Kind::Crash, 1 } }, false, true },
    { "two_crashes", { { 0, Kind::Crash, 1 }, { 400, Kind::Crash, 2 } }, false, false },
    { "three_crashes", { { 0, Kind::Crash, 1 }, { 400, Kind::Crash, 2 }, { 800, Kind::Crash, 3 } }, true, false },
    { "reported_several_times", { { 0, Kind::Crash, 1 }, { 400, Kind::Crash, 1 }, { 800, Kind::Crash, 1 } }, false,
        true },
    { "many_at_the_same_moment",
        { { 0, Kind::Crash, 1 }, { 1, Kind::Crash, 2 }, { 5, Kind::Crash, 3 }, { 20, Kind::Crash, 4 },
            { 250, Kind::Crash, 5 } },
        false, true },
    { "answer_in_between",
        { { 0, Kind::Crash, 1 }, { 400, Kind::Crash, 2 }, { 500, Kind::Answer, 0 }, { 800, Kind::Crash, 3 } }, false,
        true },
    { "answer_after_the_third",
        { { 0, Kind::Crash, 1 }, { 400, Kind::Crash, 2 }, { 800, Kind::Crash, 3 }, { 900, Kind::Answer, 0 } }, false,
        true },
    { "three_crashes_after_an_answer",
        { { 0, Kind::Answer, 0 }, { 100, Kind::Crash, 1 }, { 500, Kind::Crash, 2 }, { 900, Kind::Crash, 3 } }, true,
        false },
    { "long_ago", { { 0, Kind::Crash, 1 }, { 400, Kind::Crash, 2 }, { 70'000, Kind::Crash, 3 } }, false, true },
};

} // namespace

// Guards against a segment that crashes engines and is not recognised, and against a sound one that is kept from
// engines because many of them failed for another reason.
BOOST_DATA_TEST_CASE(segment_is_judged_by_separate_crashes_without_an_answer, data::make(verdictCases), each)
{
    CrashQuarantine quarantine;
    for (const Step& step : each.steps) {
        if (step.kind == Kind::Answer)
            quarantine.answerBegan({ deadly, shared }, at(step.ms));
        else
            quarantine.endpointCrashed(CrashTag(step.endpoint), { deadly }, at(step.ms), at(step.ms));
    }
    int end = each.steps.empty() ? 0 : each.steps.back().ms + 1;
    BOOST_TEST(quarantine.isQuarantined(deadly) == each.quarantined);
    BOOST_TEST(quarantine.refusal({ shared, deadly }, firstTurn, at(end)).has_value() == each.quarantined);
    BOOST_TEST(quarantine.mayRetry({ shared, deadly }) == each.mayRetry);
    BOOST_TEST(!quarantine.refusal({ shared, other }, firstTurn, at(end)));
}

namespace {

/// Entries that report their observations to each other, and engines that crash some time after a request with the
/// deadly segment was sent to them.
class Fleet {
public:
    /// @param loss share of the reports that are lost
    /// @param latencyMs time after which a report arrives
    Fleet(std::size_t entries, double loss, int latencyMs = 0)
        : m_entries(entries)
        , m_loss(loss)
        , m_latencyMs(latencyMs)
    {
    }

    /// Lets all entries exchange reports, and engines crash, until a time.
    void advanceTo(int ms)
    {
        for (; m_now < ms; m_now += roundMs) {
            for (std::size_t from = 0; from < m_entries.size(); ++from)
                exchange(from);
            for (const Doomed& each : m_doomed) {
                if (each.crashAt > m_now - roundMs && each.crashAt <= m_now && !each.aborted) {
                    crashes.push_back(m_now);
                    m_entries[each.entry].endpointCrashed(CrashTag(++m_nextCrash), each.tags, at(m_now), at(m_now));
                }
            }
        }
    }
    /// A request arrives at an entry. @return whether it was sent to an engine
    bool request(std::size_t entry, const std::vector<SuspectTag>& tags)
    {
        auto turn = [entry, this](SuspectTag) { return TrialTurn { entry, m_entries.size() }; };
        if (m_entries[entry].refusal(tags, turn, at(m_now)))
            return false;
        if (std::find(tags.begin(), tags.end(), deadly) != tags.end()) {
            m_doomed.push_back({ entry, tags, m_now + crashDelayMs });
            sent.push_back(m_now);
        } else {
            m_entries[entry].answerBegan(tags, at(m_now));
        }
        return true;
    }
    CrashQuarantine& entry(std::size_t index) { return m_entries[index]; }
    /// The entry is restarted with empty memory.
    void restart(std::size_t index) { m_entries[index] = CrashQuarantine(); }
    /// Ends the requests that wait at engines when their segment is put in quarantine, as entries do.
    void abortWaiting()
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            for (const QuarantineChange& change : m_entries[i].takeChanges()) {
                for (Doomed& each : m_doomed)
                    each.aborted = each.aborted
                        || (change.state == SuspectState::Quarantined && each.entry == i && each.crashAt > m_now);
            }
        }
    }
    int now() const { return m_now; }

    std::vector<int> crashes;
    /// Times at which requests with the deadly segment were sent to engines.
    std::vector<int> sent;

private:
    struct Doomed {
        std::size_t entry;
        std::vector<SuspectTag> tags;
        int crashAt;
        bool aborted = false;
    };

    static constexpr int roundMs = 100;
    static constexpr int crashDelayMs = 500;

    void exchange(std::size_t from)
    {
        QuarantineReport report = m_entries[from].report(at(m_now));
        if (report.empty())
            return;
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (to != from && m_random() >= m_loss * static_cast<double>(std::mt19937::max()))
                m_entries[to].applyReport(report, at(m_now + m_latencyMs));
        }
    }

    std::vector<CrashQuarantine> m_entries;
    double m_loss;
    int m_latencyMs;
    std::vector<Doomed> m_doomed;
    std::uint32_t m_nextCrash = 0;
    int m_now = 0;
    std::mt19937 m_random { 5 };
};

struct FleetCase {
    std::size_t entries;
    double loss;
    /// Time between two requests with the deadly segment, over all entries.
    int intervalMs;
    /// Time between restarts of one entry after the other; 0 for none.
    int restartMs;
};
std::ostream& operator<<(std::ostream& out, const FleetCase& each)
{
    return out << each.entries << " entries, loss " << each.loss << ", every " << each.intervalMs << " ms, restarts "
               << each.restartMs;
}

const FleetCase fleetCases[] = {
    { 1, 0, 1500, 0 },
    { 5, 0, 1500, 0 },
    { 6, 0.03, 300, 0 },
    { 6, 0.3, 100, 0 },
    { 30, 0.03, 100, 0 },
    { 30, 0.03, 1500, 700 },
    { 100, 0.03, 100, 300 },
    { 300, 0.03, 100, 0 },
};

} // namespace

namespace {

struct BurstCase {
    const char* name;
    SuspectTag tag;
    int crashes;
    /// Time of an answer after the burst; 0 for none.
    int answerMs;
    SuspectState state;
};
std::ostream& operator<<(std::ostream& out, const BurstCase& each) { return out << each.name; }

const SuspectTag deadlyRequest = requestSuspect("POST", "/a/1", "key", "body");
constexpr int burstEndMs = 200;
/// Later than answers would have cleared a suspect that is in regular use.
constexpr int afterBurstMs = 1000;

const BurstCase burstCases[] = {
    { "request_aboard_two", deadlyRequest, 2, 0, SuspectState::Free },
    { "request_aboard_three", deadlyRequest, 3, 0, SuspectState::OnProbation },
    { "request_that_is_answered", deadlyRequest, 3, 300, SuspectState::Free },
    { "segment_aboard_four", deadly, 4, 0, SuspectState::Free },
    { "segment_aboard_five", deadly, 5, 0, SuspectState::OnProbation },
    { "segment_that_is_answered", deadly, 8, 300, SuspectState::Free },
};

CrashQuarantine afterBurst(SuspectTag tag, int crashes)
{
    CrashQuarantine quarantine;
    for (int i = 0; i < crashes; ++i) {
        int ms = burstEndMs * i / crashes;
        quarantine.endpointCrashed(CrashTag(static_cast<std::uint32_t>(i + 1)), { tag }, at(ms), at(ms));
    }
    return quarantine;
}

} // namespace

// Guards against copies of a request that come at the same moment and crash one endpoint each: as one piece of evidence
// they would all be sent once more. A suspect that is in regular use must be free again before it is refused.
BOOST_DATA_TEST_CASE(crashes_at_the_same_moment_lead_to_probation, data::make(burstCases), each)
{
    CrashQuarantine quarantine = afterBurst(each.tag, each.crashes);
    if (each.answerMs > 0)
        quarantine.answerBegan({ each.tag }, at(each.answerMs));
    BOOST_TEST((quarantine.state(each.tag, at(burstEndMs)) == SuspectState::Free));
    BOOST_TEST(!quarantine.refusal({ each.tag }, firstTurn, at(burstEndMs)));
    BOOST_TEST((quarantine.state(each.tag, at(afterBurstMs)) == each.state));
    // One request is sent; the next one waits for its outcome.
    BOOST_TEST(!quarantine.refusal({ each.tag }, firstTurn, at(afterBurstMs)));
    bool onProbation = each.state == SuspectState::OnProbation;
    BOOST_TEST(quarantine.refusal({ each.tag }, firstTurn, at(afterBurstMs + 10)).has_value() == onProbation);
}

namespace {

struct OutcomeCase {
    const char* name;
    Kind outcome;
    SuspectState state;
};
std::ostream& operator<<(std::ostream& out, const OutcomeCase& each) { return out << each.name; }

const OutcomeCase outcomeCases[] = {
    { "crash", Kind::Crash, SuspectState::Quarantined },
    { "answer", Kind::Answer, SuspectState::Free },
};

} // namespace

// Guards against a probation that never ends.
BOOST_DATA_TEST_CASE(probation_ends_with_its_first_outcome, data::make(outcomeCases), each)
{
    CrashQuarantine quarantine = afterBurst(deadlyRequest, 4);
    BOOST_TEST(!quarantine.refusal({ deadlyRequest }, firstTurn, at(afterBurstMs)));
    int ms = afterBurstMs + 50;
    if (each.outcome == Kind::Answer)
        quarantine.answerBegan({ deadlyRequest }, at(ms));
    else
        quarantine.endpointCrashed(CrashTag(9), { deadlyRequest }, at(ms), at(ms));
    BOOST_TEST((quarantine.state(deadlyRequest, at(ms)) == each.state));
    std::vector<QuarantineChange> changes = quarantine.takeChanges();
    BOOST_REQUIRE(changes.size() == 2u);
    BOOST_TEST((changes[0].state == SuspectState::OnProbation));
    BOOST_TEST((changes[1].former == SuspectState::OnProbation));
    BOOST_TEST((changes[1].state == each.state));
}

namespace {

struct TurnCase {
    std::size_t entries;
    /// Largest number of entries that may send the request at the same moment.
    std::size_t atOnce;
};
std::ostream& operator<<(std::ostream& out, const TurnCase& each) { return out << each.entries << " entries"; }

const TurnCase turnCases[] = { { 1, 1 }, { 2, 1 }, { 6, 1 }, { 30, 5 } };

} // namespace

// Guards against copies of a request that come at all entries at the same moment, long after a trial has become
// possible, and are all sent on trial.
BOOST_DATA_TEST_CASE(entries_take_turns_with_trials, data::make(turnCases) * data::make({ 3, 8 }), each, crashes)
{
    for (int ms = afterBurstMs; ms < 60'000; ms += 700) {
        std::size_t sent = 0;
        for (std::size_t entry = 0; entry < each.entries; ++entry) {
            CrashQuarantine quarantine = afterBurst(deadlyRequest, crashes);
            auto turn = [&](SuspectTag) { return TrialTurn { entry, each.entries }; };
            auto wait = quarantine.refusal({ deadlyRequest }, turn, at(ms));
            sent += wait ? 0 : 1;
            // The caller that comes back after the time that it was named is served.
            BOOST_TEST((!wait || !quarantine.refusal({ deadlyRequest }, turn, at(ms) + *wait)));
        }
        BOOST_TEST(sent <= each.atOnce);
    }
}

// Guards against entries that know only of the crashes that they have seen themselves: with many entries none
// sees three. Later than 3 s after the fifth crash at most three requests may reach engines in a day of 48 s, also if
// entries are restarted and datagrams are lost; sound requests with the same first segment go on.
BOOST_DATA_TEST_CASE(entries_stop_the_segment_together, data::make(fleetCases), each)
{
    constexpr int dayMs = 48'000;
    constexpr int contactMs = 3000;
    Fleet fleet(each.entries, each.loss);
    std::mt19937 random(9);
    std::size_t refusedSound = 0;
    std::size_t restarted = 0;
    for (int ms = 100; ms < dayMs; ms += 100) {
        if (each.intervalMs < 200 || ms % each.intervalMs < 100)
            fleet.request(random() % each.entries, { shared, deadly });
        for (int i = 0; i < 3; ++i)
            refusedSound += fleet.request(random() % each.entries, { shared, other }) ? 0 : 1;
        if (each.restartMs > 0 && ms % each.restartMs == 0 && fleet.crashes.size() > 5)
            fleet.restart(restarted++ % each.entries);
        fleet.abortWaiting();
        fleet.advanceTo(ms);
    }
    BOOST_REQUIRE(!fleet.crashes.empty());
    int fifth = fleet.crashes.size() < 5 ? dayMs : fleet.crashes[4];
    auto late = std::count_if(fleet.sent.begin(), fleet.sent.end(), [fifth](int ms) { return ms > fifth + contactMs; });
    BOOST_TEST(late <= 3);
    BOOST_TEST(refusedSound == 0u);
}

namespace {

struct TrialCase {
    const char* name;
    /// Whether engines still crash under the segment.
    bool crashes;
    /// Largest number of requests sent within five minutes, and whether the segment is still in quarantine.
    std::size_t sent;
    bool quarantined;
};
std::ostream& operator<<(std::ostream& out, const TrialCase& each) { return out << each.name; }

const TrialCase trialCases[] = { { "still_crashes", true, 5, true }, { "sound", false, 1, false } };

} // namespace

// Guards against a wrong verdict that never ends because nothing is let through, and against trials that crash engines
// again and again.
BOOST_DATA_TEST_CASE(quarantine_ends_by_a_trial, data::make(trialCases), each)
{
    constexpr std::size_t entries = 6;
    // Reports take about as long as the time between two of them, so times that are passed on must not add up.
    Fleet fleet(entries, 0, 90);
    for (std::uint32_t i = 0; i < 3; ++i) {
        fleet.entry(0).endpointCrashed(CrashTag(1000 + i), { deadly }, at(fleet.now()), at(fleet.now()));
        fleet.advanceTo(fleet.now() + 400);
    }
    std::size_t sent = 0;
    for (int ms = fleet.now(); ms < 300'000 && fleet.entry(1).isQuarantined(deadly); ms += 200) {
        std::size_t entry = static_cast<std::size_t>(ms / 200) % entries;
        auto turn = [entry](SuspectTag) { return TrialTurn { entry, entries }; };
        if (!fleet.entry(entry).refusal({ deadly }, turn, at(ms))) {
            ++sent;
            if (each.crashes)
                fleet.entry(entry).endpointCrashed(
                    CrashTag(static_cast<std::uint32_t>(sent)), { deadly }, at(ms), at(ms));
            else
                fleet.entry(entry).answerBegan({ deadly }, at(ms));
        }
        fleet.advanceTo(ms);
    }
    BOOST_TEST(sent >= 1u);
    BOOST_TEST(sent <= each.sent);
    fleet.advanceTo(fleet.now() + 1000);
    for (std::size_t i = 0; i < entries; ++i)
        BOOST_TEST(fleet.entry(i).isQuarantined(deadly) == each.quarantined);
}

// Guards against entries that put a segment in quarantine and release it with each report, because each judges by times
// that reports shift: one began to answer at about the time of the crashes that others saw.
BOOST_DATA_TEST_CASE(
    verdict_does_not_oscillate, data::make({ -500, -20, 0, 20, 380, 400, 420, 780, 800, 820, 1500 }), answerMs)
{
    constexpr std::size_t entries = 6;
    constexpr int firstCrashMs = 1000;
    Fleet fleet(entries, 0, 30);
    std::size_t changes = 0;
    for (int ms = 0; ms < 20'000; ms += 20) {
        fleet.advanceTo(ms);
        for (int crash = 0; crash < 3; ++crash) {
            if (ms == firstCrashMs + 400 * crash)
                fleet.entry(static_cast<std::size_t>(crash))
                    .endpointCrashed(CrashTag(static_cast<std::uint32_t>(crash)), { deadly }, at(ms), at(ms));
        }
        if (ms == firstCrashMs + answerMs)
            fleet.entry(4).answerBegan({ deadly }, at(ms));
        for (std::size_t i = 0; i < entries; ++i)
            changes += fleet.entry(i).takeChanges().size();
    }
    BOOST_TEST(changes <= 2 * entries);
    bool answeredAfterFirstCrash = answerMs > 100;
    if (answeredAfterFirstCrash) {
        for (std::size_t i = 0; i < entries; ++i)
            BOOST_TEST(!fleet.entry(i).isQuarantined(deadly));
    }
}

// Guards against a quarantine that is lost with the entries that know it: a new one learns it from reports or the
// store.
BOOST_AUTO_TEST_CASE(new_entry_learns_the_quarantine)
{
    CrashQuarantine known;
    for (std::uint32_t i = 0; i < 3; ++i)
        known.endpointCrashed(CrashTag(i), { deadly }, at(400 * static_cast<int>(i)), at(400 * static_cast<int>(i)));
    CrashQuarantine fromPeer;
    fromPeer.applyReport(known.report(at(10'000)), at(10'000));
    BOOST_TEST(fromPeer.isQuarantined(deadly));
    BOOST_TEST(fromPeer.refusal({ deadly }, firstTurn, at(10'000)).has_value());
    CrashQuarantine fromStore;
    fromStore.restore(deadly, at(10'000));
    BOOST_TEST(fromStore.isQuarantined(deadly));
    // An answer here shows that the store's record is out of date.
    CrashQuarantine disproved;
    disproved.answerBegan({ deadly }, at(9000));
    disproved.restore(deadly, at(10'000));
    BOOST_TEST(!disproved.isQuarantined(deadly));
}

// Guards against an entry that starts during a probation and sends all requests with the suspect: 24 reached engines.
BOOST_AUTO_TEST_CASE(restored_probation_is_decided_by_its_first_outcome)
{
    CrashQuarantine crashed;
    crashed.restoreProbation(deadly, at(0));
    BOOST_TEST(crashed.mayRefuse());
    BOOST_TEST(!crashed.mayRetry({ deadly }));
    BOOST_TEST(!crashed.refusal({ deadly }, firstTurn, at(100)));
    BOOST_TEST((crashed.refusal({ deadly }, firstTurn, at(200)) > Duration(0)));
    crashed.endpointCrashed(CrashTag(1), { deadly }, at(300), at(300));
    BOOST_TEST(crashed.isQuarantined(deadly));

    CrashQuarantine answered;
    answered.restoreProbation(deadly, at(0));
    answered.answerBegan({ deadly }, at(300));
    BOOST_TEST(!answered.mayRefuse());
    BOOST_TEST((answered.state(deadly, at(300)) == SuspectState::Free));

    CrashQuarantine unused;
    unused.restoreProbation(deadly, at(0));
    unused.expire(at(30'000));
    BOOST_TEST((unused.state(deadly, at(30'000)) == SuspectState::OnProbation));
    unused.expire(at(60'001));
    BOOST_TEST(!unused.hasSuspects());

    // Crashes before the restoration that another entry reports are those that led to the probation.
    CrashQuarantine reported;
    reported.restoreProbation(deadly, at(0));
    reported.endpointCrashed(CrashTag(1), { deadly }, at(-400), at(100));
    BOOST_TEST(!reported.isQuarantined(deadly));
}

// Guards against memory that grows with the number of segments that callers send.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    CrashQuarantine quarantine;
    for (std::uint32_t i = 0; i < 3; ++i)
        quarantine.endpointCrashed(
            CrashTag(i), { deadly }, at(400 * static_cast<int>(i)), at(400 * static_cast<int>(i)));
    for (std::uint32_t i = 0; i < 50'000; ++i) {
        int ms = 2000 + static_cast<int>(i) / 100;
        quarantine.endpointCrashed(CrashTag(100 + i), { SuspectTag(100 + i) }, at(ms), at(ms));
        quarantine.answerBegan({ SuspectTag(1'000'000 + i) }, at(ms));
        BOOST_REQUIRE(quarantine.size() <= CrashQuarantine::maxSuspects + CrashQuarantine::maxRemembered);
    }
    BOOST_TEST(quarantine.isQuarantined(deadly));
    QuarantineReport report = quarantine.report(at(2500));
    BOOST_TEST(report.crashes.size() <= CrashQuarantine::maxReported);
}

struct TagCase {
    const char* name;
    const char* method;
    const char* target;
    const char* caller;
    const char* body;
    bool same;
};
std::ostream& operator<<(std::ostream& out, const TagCase& each) { return out << each.name; }

const TagCase tagCases[] = {
    { "repeated", "POST", "/a/1", "key", "body", true },
    { "other_method", "PUT", "/a/1", "key", "body", false },
    { "other_path", "POST", "/a/2", "key", "body", false },
    { "other_caller", "POST", "/a/1", "other", "body", false },
    { "other_body", "POST", "/a/1", "key", "bodz", false },
    { "shifted_boundary", "POST", "/a/1k", "ey", "body", false },
};

// Guards against requests that are taken for the same although their caller or content differs.
BOOST_DATA_TEST_CASE(tag_of_a_request_covers_its_content, data::make(tagCases), each)
{
    SuspectTag known = requestSuspect("POST", "/a/1", "key", "body");
    BOOST_TEST((requestSuspect(each.method, each.target, each.caller, each.body) == known) == each.same);
    BOOST_TEST(isRequest(known));
    BOOST_TEST(!isRequest(segmentSuspect(0xffffffffffffffffULL)));
}

// Guards against refusing sound requests because they share a segment with one request that crashes engines.
BOOST_AUTO_TEST_CASE(crashes_of_a_request_in_quarantine_say_nothing_about_segments)
{
    SuspectTag guilty = requestSuspect("POST", "/a/1", "key", "body");
    CrashQuarantine quarantine;
    for (int i = 0; i < 5; ++i)
        quarantine.endpointCrashed(
            CrashTag(static_cast<std::uint32_t>(i + 1)), { guilty, shared }, at(400 * i), at(400 * i));
    BOOST_TEST(quarantine.isQuarantined(guilty));
    BOOST_TEST(!quarantine.isQuarantined(shared));
    BOOST_TEST(quarantine.mayRetry({ shared }));
}

// Guards against losing the evidence against a segment to a request that was in quarantine for a moment only.
BOOST_AUTO_TEST_CASE(crashes_count_again_when_the_request_is_released)
{
    SuspectTag sound = requestSuspect("POST", "/a/1", "key", "body");
    CrashQuarantine quarantine;
    for (int i = 0; i < 3; ++i)
        quarantine.endpointCrashed(
            CrashTag(static_cast<std::uint32_t>(i + 1)), { sound, deadly }, at(400 * i), at(400 * i));
    BOOST_TEST(!quarantine.isQuarantined(deadly));
    quarantine.answerBegan({ sound }, at(1000));
    quarantine.endpointCrashed(CrashTag(4), { deadly }, at(1200), at(1200));
    BOOST_TEST(quarantine.isQuarantined(deadly));
}

// Guards against a segment that stays unrecognised because no two requests with it are alike.
BOOST_AUTO_TEST_CASE(segment_of_different_requests_is_recognised)
{
    CrashQuarantine quarantine;
    for (int i = 0; i < 3; ++i) {
        SuspectTag request = requestSuspect("POST", "/a/1", "key", std::to_string(i));
        quarantine.endpointCrashed(
            CrashTag(static_cast<std::uint32_t>(i + 1)), { request, deadly }, at(400 * i), at(400 * i));
    }
    BOOST_TEST(quarantine.isQuarantined(deadly));
    BOOST_TEST(quarantine.quarantinedCount() == 1u);
}

// Guards against a quarantine without an end when no requests with the suspect arrive and entries keep reporting it.
BOOST_AUTO_TEST_CASE(unused_quarantine_expires)
{
    constexpr int longest = 600'000;
    CrashQuarantine quarantine;
    for (int i = 0; i < 3; ++i)
        quarantine.endpointCrashed(CrashTag(static_cast<std::uint32_t>(i + 1)), { deadly }, at(400 * i), at(400 * i));
    QuarantineReport report = quarantine.report(at(800 + longest));
    quarantine.expire(at(799 + longest));
    BOOST_TEST(quarantine.isQuarantined(deadly));
    quarantine.expire(at(800 + longest));
    BOOST_TEST(!quarantine.hasSuspects());
    quarantine.applyReport(report, at(800 + longest));
    BOOST_TEST(!quarantine.isQuarantined(deadly));
}

// Guards against hashing each body forever after a single crash.
BOOST_AUTO_TEST_CASE(suspects_expire)
{
    CrashQuarantine quarantine;
    quarantine.endpointCrashed(CrashTag(1), { deadly }, at(0), at(0));
    quarantine.expire(at(59'000));
    BOOST_TEST(quarantine.hasSuspects());
    quarantine.expire(at(60'000));
    BOOST_TEST(!quarantine.hasSuspects());
}
