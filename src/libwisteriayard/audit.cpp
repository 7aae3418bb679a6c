#include "wisteriayard/audit.h"

#include "wisteriayard/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wisteriayard {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t hashDigits = 64;
    /// Separates the body of a line from its hash. The hash is the last member, so the body is everything before it.
    constexpr std::string_view hashMember = ",\"hash\":\"";
    constexpr std::string_view lineEnd = "\"}";

    std::string chainedHash(const std::string& previous, const std::string& bodyHash)
    {
        return sha256Hex(previous + bodyHash);
    }

    std::string jsonText(const std::string& text)
    {
        return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    /// Checks that a parsed line has all members of a record, with the right types.
    bool isRecord(const Json& json)
    {
        auto has = [&](const char* name, Json::value_t type) {
            auto it = json.find(name);
            return it != json.end() && it->type() == type;
        };
        return json.is_object() && has("seq", Json::value_t::number_unsigned)
            && has("event", Json::value_t::number_unsigned) && has("instance", Json::value_t::string)
            && has("incarnation", Json::value_t::string) && has("fields", Json::value_t::object);
    }

} // namespace

AuditChain::AuditChain(std::string instance, std::string incarnation)
    : m_instance(std::move(instance))
    , m_incarnation(std::move(incarnation))
{
}

std::string AuditChain::append(const AuditEvent& event)
{
    std::string line = "{\"seq\":" + std::to_string(++m_sequence) + ",\"time_ms\":" + std::to_string(event.timeMs)
        + ",\"instance\":" + jsonText(m_instance) + ",\"incarnation\":" + jsonText(m_incarnation)
        + ",\"event\":" + std::to_string(event.number) + ",\"name\":" + jsonText(std::string(event.name))
        + ",\"fields\":" + event.fields;
    m_head = chainedHash(m_head, sha256Hex(line));
    line.append(hashMember).append(m_head).append(lineEnd);
    return line;
}

std::string_view auditFaultName(AuditFault fault)
{
    switch (fault) {
    case AuditFault::NotARecord:
        return "not_a_record";
    case AuditFault::Edited:
        return "edited";
    case AuditFault::Gap:
        return "gap";
    case AuditFault::Reordered:
        return "reordered";
    case AuditFault::Duplicated:
        return "duplicated";
    case AuditFault::MissingStart:
        return "missing_start";
    case AuditFault::DuplicatedStart:
        return "duplicated_start";
    case AuditFault::Truncated:
        return "truncated";
    }
    return "unknown";
}

void AuditVerifier::addLine(std::size_t line, std::string_view text)
{
    const std::size_t tail = hashMember.size() + hashDigits + lineEnd.size();
    bool framed = text.size() > tail && text.substr(text.size() - tail, hashMember.size()) == hashMember
        && text.substr(text.size() - lineEnd.size()) == lineEnd;
    Json json = framed ? Json::parse(text, nullptr, false) : Json();
    if (!isRecord(json)) {
        m_invalidLines.push_back({ AuditFault::NotARecord, "", 0, line, "the line is not a record of a log" });
        return;
    }
    Record record;
    record.sequence = json["seq"].get<std::uint64_t>();
    record.line = line;
    record.bodyHash = sha256Hex(text.substr(0, text.size() - tail));
    record.hash = std::string(text.substr(text.size() - lineEnd.size() - hashDigits, hashDigits));
    record.isStart = json["event"] == logStartedEvent;
    Process& process = m_processes[json["incarnation"].get<std::string>()];
    process.instance = json["instance"].get<std::string>();
    process.records.push_back(std::move(record));
}

void AuditVerifier::checkProcess(const std::string& incarnation, const Process& process, std::vector<AuditFinding>& out)
{
    auto add = [&](AuditFault fault, const Record& record, std::string message) {
        out.push_back({ fault, incarnation, record.sequence, record.line, std::move(message) });
    };
    std::vector<Record> records = process.records;
    for (std::size_t i = 1; i < records.size(); ++i) {
        if (records[i].sequence < records[i - 1].sequence)
            add(AuditFault::Reordered, records[i], "follows record " + std::to_string(records[i - 1].sequence));
    }
    std::stable_sort(
        records.begin(), records.end(), [](const Record& a, const Record& b) { return a.sequence < b.sequence; });
    const Record& first = records.front();
    if (first.sequence != 1 || !first.isStart)
        add(AuditFault::MissingStart, first, "the first record of the process is missing");
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Record& record = records[i];
        const Record* before = i > 0 ? &records[i - 1] : nullptr;
        if (record.isStart && before)
            add(AuditFault::DuplicatedStart, record, "the process starts again under the same incarnation");
        if (before && record.sequence == before->sequence) {
            add(AuditFault::Duplicated, record, "the sequence number occurs twice");
            continue;
        }
        if (before && record.sequence != before->sequence + 1) {
            add(AuditFault::Gap, record, "records after " + std::to_string(before->sequence) + " are missing");
            continue;
        }
        bool startsChain = !before && record.sequence == 1;
        if ((before || startsChain) && record.hash != chainedHash(before ? before->hash : "", record.bodyHash))
            add(AuditFault::Edited, record, "the hash does not match this record and its predecessor");
    }
}

void AuditVerifier::checkAnchor(const AuditAnchor& anchor, std::vector<AuditFinding>& out) const
{
    auto it = anchor.incarnation.empty() && m_processes.size() == 1 ? m_processes.begin()
                                                                    : m_processes.find(anchor.incarnation);
    if (it == m_processes.end()) {
        out.push_back({ AuditFault::MissingStart, anchor.incarnation, anchor.sequence, 0,
            anchor.incarnation.empty() ? "the position names no incarnation, and the log does not hold exactly one"
                                       : "the log holds no record of this process" });
        return;
    }
    std::uint64_t last = 0;
    for (const Record& record : it->second.records) {
        last = std::max(last, record.sequence);
        if (record.sequence == anchor.sequence && !anchor.hash.empty() && record.hash != anchor.hash)
            out.push_back(
                { AuditFault::Edited, it->first, record.sequence, record.line, "the hash differs from the given one" });
    }
    if (last < anchor.sequence)
        out.push_back({ AuditFault::Truncated, it->first, last, 0,
            "ends at record " + std::to_string(last) + ", but " + std::to_string(anchor.sequence) + " were written" });
}

std::vector<AuditFinding> AuditVerifier::finish(const std::vector<AuditAnchor>& anchors) const
{
    std::vector<AuditFinding> findings = m_invalidLines;
    for (const auto& [incarnation, process] : m_processes)
        checkProcess(incarnation, process, findings);
    for (const AuditAnchor& anchor : anchors)
        checkAnchor(anchor, findings);
    return findings;
}

std::map<std::string, AuditLogSummary> AuditVerifier::summaries() const
{
    std::map<std::string, AuditLogSummary> lengths;
    for (const auto& [incarnation, process] : m_processes) {
        AuditLogSummary& length = lengths[incarnation];
        length.instance = process.instance;
        for (const Record& record : process.records) {
            ++length.recordCount;
            if (record.sequence < length.lastSequence)
                continue;
            length.lastSequence = record.sequence;
            length.head = record.hash;
        }
    }
    return lengths;
}

} // namespace wisteriayard
