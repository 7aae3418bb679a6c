#define BOOST_TEST_MODULE audit
#include "wisteriayard/audit.h"
#include "wisteriayard/replay.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace wisteriayard;

namespace {

using Lines = std::vector<std::string>;

Lines makeLog(const std::string& incarnation)
{
    AuditChain chain("entry-1", incarnation);
    Lines lines { chain.append({ logStartedEvent, "log_started", 1, "{}" }) };
    for (int i = 0; i < 5; ++i)
        lines.push_back(chain.append({ 202, "request_finished", 1000 + i, "{\"n\":" + std::to_string(i) + "}" }));
    return lines;
}

void replaceIn(std::string& line, const std::string& from, const std::string& to)
{
    line.replace(line.find(from), from.size(), to);
}

struct TamperCase {
    const char* name;
    void (*change)(Lines&);
    AuditFault fault;
    std::uint64_t sequence;
};

std::ostream& operator<<(std::ostream& out, const TamperCase& c) { return out << c.name; }

// Each case tampers with a log in one way that the verifier must detect.
const TamperCase tamperCases[] = {
    { "edit", [](Lines& lines) { replaceIn(lines[2], "\"n\":1", "\"n\":7"); }, AuditFault::Edited, 3 },
    { "edited hash", [](Lines& lines) { lines[2][lines[2].size() - 5] ^= 1; }, AuditFault::Edited, 3 },
    { "edited time", [](Lines& lines) { replaceIn(lines[5], "1004", "1009"); }, AuditFault::Edited, 6 },
    { "gap", [](Lines& lines) { lines.erase(lines.begin() + 2); }, AuditFault::Gap, 4 },
    { "swap", [](Lines& lines) { std::swap(lines[2], lines[3]); }, AuditFault::Reordered, 3 },
    { "copy", [](Lines& lines) { lines.push_back(lines.back()); }, AuditFault::Duplicated, 6 },
    { "no start", [](Lines& lines) { lines.erase(lines.begin()); }, AuditFault::MissingStart, 2 },
    { "two starts", [](Lines& lines) { lines.push_back(lines.front()); }, AuditFault::DuplicatedStart, 1 },
    { "cut tail", [](Lines& lines) { lines.pop_back(); }, AuditFault::Truncated, 5 },
    { "foreign line", [](Lines& lines) { lines.push_back("{\"seq\":7}"); }, AuditFault::NotARecord, 0 },
    { "cut line", [](Lines& lines) { lines.back().pop_back(); }, AuditFault::NotARecord, 0 },
    { "other chain",
        [](Lines& lines) {
            AuditChain chain("entry-1", "aa");
            for (std::size_t i = 0; i < lines.size(); ++i)
                lines[i] = chain.append({ i ? 202 : logStartedEvent, "x", 1, "{}" });
        },
        AuditFault::Edited, 6 },
};

std::vector<AuditFinding> verify(const Lines& lines, const std::vector<AuditAnchor>& anchors)
{
    AuditVerifier verifier;
    for (std::size_t i = 0; i < lines.size(); ++i)
        verifier.addLine(i + 1, lines[i]);
    return verifier.finish(anchors);
}

std::string headOf(const Lines& lines)
{
    AuditVerifier verifier;
    for (const std::string& line : lines)
        verifier.addLine(1, line);
    return verifier.summaries().begin()->second.head;
}

const std::string contractText = R"({"account":"jordan","classes":[
 {"name":"lookup","tier":"interactive","match":{"target":"m","max_tokens_at_most":256},"targets":{"attainment":0.9},"longest_wait_ms":2000},
 {"name":"chat","tier":"bulk","match":{"target":"m"},"targets":{"attainment":0.9},
  "longest_wait_ms":60000}]})";

std::shared_ptr<const Contract> lookUp(const AccountId& account, Revision revision)
{
    if (account != AccountId("jordan") || revision != Revision(9))
        return nullptr;
    auto contract = parseContract(contractText);
    return contract ? std::make_shared<const Contract>(contract.value()) : nullptr;
}

struct ReplayCase {
    int event;
    const char* fields;
    const char* message;
};

std::ostream& operator<<(std::ostream& out, const ReplayCase& c) { return out << c.event << c.fields; }

#define TAKEN R"("key_state":"valid","key_hash":"k","account":"jordan","target":"m","method":"POST","path":"")"

const ReplayCase replayCases[] = {
    { 340, "{" TAKEN R"(,"class":"lookup","max_tokens":256,"contract_revision":9})", "" },
    { 340, "{" TAKEN R"(,"class":"chat","max_tokens":256,"contract_revision":9})", "gives \"lookup\"" },
    { 340, "{" TAKEN R"(,"class":"chat","contract_revision":8})", "revision 8 is not known" },
    { 340, R"({"key_state":"withdrawn","account":"jordan","target":"m","class":"chat","contract_revision":9})",
        "the key is \"withdrawn\"" },
    { 201, R"({"rule":"key_not_valid","key_state":"unknown"})", "" },
    { 201, R"({"rule":"key_not_valid","key_state":"valid"})", "the key is \"valid\"" },
    { 201, R"({"rule":"no_class","account":"jordan","target":"x","contract_revision":9})", "" },
    { 201, R"({"rule":"no_class","account":"jordan","target":"m","contract_revision":9})", "gives class chat" },
    { 201,
        R"({"rule":"wait_exceeded","account":"jordan","class":"chat","contract_revision":9,
            "waited_us":60000001,"longest_wait_us":60000000})",
        "" },
    { 201,
        R"({"rule":"wait_exceeded","account":"jordan","class":"chat","contract_revision":9,
            "waited_us":60000000,"longest_wait_us":60000000})",
        "waited no longer" },
    { 201,
        R"({"rule":"wait_exceeded","account":"jordan","class":"chat","contract_revision":9,
            "waited_us":9000000,"longest_wait_us":7000000})",
        "not the contract's" },
    { 200, R"({"request":"q","class":"chat","contract_revision":9})", "never classified" },
};

std::string logLine(int event, const std::string& fields)
{
    return R"({"seq":3,"time_ms":120001,"incarnation":"aa","event":)" + std::to_string(event) + ",\"fields\":" + fields
        + "}";
}

} // namespace

BOOST_AUTO_TEST_CASE(accepts_untouched_logs_also_when_mixed)
{
    Lines one = makeLog("aa");
    Lines two = makeLog("bb");
    Lines mixed;
    for (std::size_t i = 0; i < one.size(); ++i)
        mixed.insert(mixed.end(), { one[i], two[i] });
    auto findings = verify(mixed, { { "aa", 6, headOf(one) }, { "bb", 6, headOf(two) } });
    BOOST_TEST(findings.size() == 0u, (findings.empty() ? "" : findings[0].message));
    BOOST_REQUIRE(verify(mixed, { { "cc", 1, "" } }).size() == 1u);
}

BOOST_DATA_TEST_CASE(finds_tampering, boost::unit_test::data::make(tamperCases))
{
    Lines lines = makeLog("aa");
    const std::string head = headOf(lines);
    sample.change(lines);
    auto findings = verify(lines, { { "", 6, head } });
    bool found = std::any_of(findings.begin(), findings.end(), [&](const AuditFinding& finding) {
        return finding.fault == sample.fault && finding.sequence == sample.sequence;
    });
    BOOST_TEST(found);
}

BOOST_DATA_TEST_CASE(recomputes_decisions, boost::unit_test::data::make(replayCases))
{
    DecisionReplay replay(lookUp);
    replay.addLine(logLine(sample.event, sample.fields));
    BOOST_TEST(replay.decisionCount() == 1u);
    std::string message = replay.findings().empty() ? "" : replay.findings()[0].message;
    bool expected = *sample.message ? message.find(sample.message) != std::string::npos : message.empty();
    BOOST_TEST(expected, message);
}

// Guards against admitting a request after the withdrawal of its key took effect in the same process.
BOOST_AUTO_TEST_CASE(finds_admission_after_withdrawal)
{
    DecisionReplay replay(lookUp);
    replay.addLine(logLine(301, R"({"key_hash":"k"})"));
    replay.addLine(logLine(340, "{" TAKEN R"(,"class":"chat","contract_revision":9})"));
    BOOST_REQUIRE(replay.findings().size() == 1u);
    BOOST_TEST(replay.findings()[0].message.find("was withdrawn before") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(sums_usage_per_window)
{
    DecisionReplay replay(lookUp);
    for (int i = 0; i < 3; ++i)
        replay.addLine(
            logLine(346, R"({"request":"q","account":"jordan","class":"chat","requests":1,"output_tokens":7})"));
    BOOST_REQUIRE(replay.usage().size() == 1u);
    BOOST_TEST(replay.usage().begin()->first.window == 2);
    BOOST_TEST(bool(replay.usage().begin()->second == UsageSum { 3, 21 }));
}
