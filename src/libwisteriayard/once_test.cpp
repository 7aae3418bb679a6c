#define BOOST_TEST_MODULE once
#include "wisteriayard/once.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace wisteriayard;
namespace data = boost::unit_test::data;

namespace {

const OnceOwner self { Epoch(3), EndpointId("a"), 7 };
const OnceOwner successor { Epoch(4), EndpointId("b"), 8 };

OnceCall call(std::uint64_t id, const std::string& key, const std::string& fingerprint = "f")
{
    return { OnceCallId(id), OnceKey(key), OnceFingerprint(fingerprint) };
}

OnceAnswer answer(const std::string& body = "receipt") { return { 200, "text/plain", body }; }

std::string describe(const OnceDecision& decision)
{
    struct Visitor {
        std::string operator()(const OnceExecute&) const { return "execute"; }
        std::string operator()(const OnceAnswerFromRecord& each) const { return "record:" + each.answer.body; }
        std::string operator()(const OnceRefuse& each) const
        {
            return "not_run:" + std::to_string(static_cast<int>(each.reason));
        }
        std::string operator()(const OnceAnswerUnknown& each) const
        {
            return "unknown:" + std::to_string(static_cast<int>(each.reason));
        }
        std::string operator()(const OnceKeyReused&) const { return "key_reused"; }
    };
    return std::visit(Visitor {}, decision);
}

std::string describe(const std::optional<OnceDecision>& decision) { return decision ? describe(*decision) : "waits"; }

std::string describe(const OnceLog::Decisions& decisions)
{
    std::string text;
    for (const OnceDecision& each : decisions)
        text += (text.empty() ? "" : " ") + describe(each);
    return text;
}

/// Applies one step to the log.
/// @return the resulting decisions as text
std::string step(OnceLog& log, const std::string& name)
{
    static std::string written;
    if (name == "submit")
        return describe(log.submit(call(1, "k"), WallTime(0)));
    if (name == "repeat")
        return describe(log.submit(call(2, "k"), WallTime(1)));
    if (name == "other_body")
        return describe(log.submit(call(3, "k", "g"), WallTime(1)));
    if (name == "other_key")
        return describe(log.submit(call(4, "l"), WallTime(1)));
    if (name == "write") {
        auto value = log.beginWrite(WallTime(1));
        if (value)
            written = *value;
        return value ? "value" : "nothing";
    }
    if (name == "written")
        return describe(log.writeCommitted());
    if (name == "not_written")
        return describe(log.writeFailed());
    if (name == "in_doubt")
        return describe(log.writeIndeterminate());
    if (name == "doubt_lasts")
        return describe(log.abandonIndeterminateWrite());
    if (name == "fenced_after")
        return describe(log.fenced(written));
    if (name == "fenced_before")
        return describe(log.fenced(OnceLog(successor, {}).releaseValue()));
    if (name == "finished")
        log.recordAnswer(OnceCallId(1), answer());
    if (name == "finished_large")
        log.recordAnswer(OnceCallId(1), answer(std::string(5000, 'x')));
    if (name == "lost")
        log.markUnresolved(OnceCallId(1));
    if (name == "cancelled")
        log.cancel(OnceCallId(1));
    if (name == "takeover") {
        OnceLog next(successor, {});
        BOOST_REQUIRE(next.load(written));
        log = next;
    }
    return "";
}

struct Case {
    const char* name;
    std::vector<std::pair<const char*, const char*>> steps;
};

std::ostream& operator<<(std::ostream& out, const Case& each) { return out << each.name; }

const Case cases[] = {
    { "executes_after_write", { { "submit", "waits" }, { "write", "value" }, { "written", "execute" } } },
    { "repeat_before_write",
        { { "submit", "waits" }, { "repeat", "unknown:0" }, { "write", "value" }, { "repeat", "unknown:0" },
            { "written", "execute" }, { "repeat", "unknown:0" } } },
    { "repeat_gets_answer",
        { { "submit", "waits" }, { "write", "value" }, { "written", "execute" }, { "finished", "" },
            { "repeat", "record:receipt" }, { "write", "value" }, { "takeover", "" },
            { "repeat", "record:receipt" } } },
    { "large_answer_not_kept",
        { { "submit", "waits" }, { "write", "value" }, { "written", "execute" }, { "finished_large", "" },
            { "repeat", "unknown:2" } } },
    { "other_body_is_refused",
        { { "submit", "waits" }, { "other_body", "key_reused" }, { "write", "value" }, { "written", "execute" },
            { "finished", "" }, { "other_body", "key_reused" } } },
    { "lost_outcome_stays_unknown",
        { { "submit", "waits" }, { "write", "value" }, { "written", "execute" }, { "lost", "" },
            { "repeat", "unknown:1" } } },
    { "intent_of_former_owner",
        { { "submit", "waits" }, { "write", "value" }, { "takeover", "" }, { "repeat", "unknown:1" },
            { "write", "nothing" } } },
    { "cancelled_key_is_free",
        { { "submit", "waits" }, { "write", "value" }, { "written", "execute" }, { "cancelled", "" },
            { "repeat", "waits" } } },
    { "store_away",
        { { "submit", "waits" }, { "write", "value" }, { "not_written", "not_run:0" }, { "repeat", "waits" } } },
    { "doubt_then_written",
        { { "submit", "waits" }, { "write", "value" }, { "other_key", "waits" }, { "in_doubt", "not_run:0" },
            { "other_key", "not_run:0" }, { "written", "execute" }, { "other_key", "waits" } } },
    { "abandoned_is_cancelled",
        { { "submit", "waits" }, { "write", "value" }, { "in_doubt", "" }, { "doubt_lasts", "unknown:3" },
            { "doubt_lasts", "" }, { "repeat", "unknown:0" }, { "written", "" }, { "repeat", "waits" },
            { "write", "value" }, { "written", "execute" } } },
    { "fenced_without_doubt", { { "submit", "waits" }, { "write", "value" }, { "fenced_before", "not_run:2" } } },
    { "fenced_after_landing",
        { { "submit", "waits" }, { "write", "value" }, { "in_doubt", "" }, { "fenced_after", "unknown:3" } } },
    { "fenced_before_landing",
        { { "submit", "waits" }, { "write", "value" }, { "in_doubt", "" }, { "fenced_before", "not_run:2" } } },
    { "result_after_fence_is_dropped",
        { { "submit", "waits" }, { "write", "value" }, { "written", "execute" }, { "fenced_after", "" },
            { "finished", "" }, { "write", "nothing" } } },
    { "group_commit",
        { { "submit", "waits" }, { "other_key", "waits" }, { "write", "value" }, { "write", "nothing" },
            { "written", "execute execute" } } },
};

} // namespace

// Guards against a second execution, a wrong not_run and a changed answer (G9, G10).
BOOST_DATA_TEST_CASE(transitions, data::make(cases))
{
    OnceLog log(self, {});
    for (const auto& [name, expected] : sample.steps)
        BOOST_TEST_CONTEXT(name) { BOOST_TEST(step(log, name) == expected); }
}

// Guards against dropping a key before its retention ends, and against unbounded growth of the log.
BOOST_AUTO_TEST_CASE(retention)
{
    OnceLimits limits;
    limits.retention = std::chrono::seconds(10);
    OnceLog log(self, limits);
    log.submit(call(1, "k"), WallTime(0));
    log.beginWrite(WallTime(0));
    log.writeCommitted();
    BOOST_TEST(describe(log.submit(call(2, "k"), WallTime(20'000))) == "unknown:0"); // open calls don't expire
    log.recordAnswer(OnceCallId(1), answer());
    BOOST_TEST(describe(log.submit(call(3, "k"), WallTime(10'000))) == "record:receipt");
    BOOST_TEST(describe(log.submit(call(4, "k"), WallTime(10'001))) == "waits");
}

// Guards against a value that exceeds the store's limit: answers are dropped first, then calls are refused; keys are
// never dropped.
BOOST_AUTO_TEST_CASE(size_limit)
{
    OnceLimits limits;
    limits.maxValue = Bytes(2000);
    OnceLog log(self, limits);
    std::uint64_t id = 0;
    std::string outcome;
    while (outcome.empty() || outcome == "waits") {
        ++id;
        outcome = describe(log.submit(call(id, std::string(12, 'k') + std::to_string(1000 + id)), WallTime(0)));
        auto value = log.beginWrite(WallTime(0));
        BOOST_REQUIRE(!value || value->size() <= 2000);
        log.writeCommitted();
        log.recordAnswer(OnceCallId(id), answer(std::string(100, 'x')));
    }
    BOOST_TEST(outcome == "not_run:1");
    BOOST_TEST(id > 15);
    BOOST_TEST(describe(log.submit(call(99, std::string(12, 'k') + "1001"), WallTime(0))) == "unknown:2");
}

// Guards against a planned release that names an owner or loses calls.
BOOST_AUTO_TEST_CASE(release)
{
    OnceLog log(self, {});
    log.submit(call(1, "k"), WallTime(0));
    BOOST_TEST(log.openCalls() == 1);
    log.beginWrite(WallTime(0));
    log.writeCommitted();
    log.recordAnswer(OnceCallId(1), answer());
    BOOST_TEST(log.openCalls() == 0);
    OnceLog next(successor, {});
    BOOST_REQUIRE(next.load(log.releaseValue()));
    BOOST_TEST(OnceLog::ownerOf(log.releaseValue()).value().endpoint.empty());
    BOOST_TEST(describe(next.submit(call(2, "k"), WallTime(1))) == "record:receipt");
    BOOST_TEST(!next.load("\xff"));
}
