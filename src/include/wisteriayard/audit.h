#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// Event number of the first record of a process's log.
inline constexpr int logStartedEvent = 110;

/// An event that has not been appended to the hash chain yet.
struct AuditEvent {
    int number = 0;
    std::string_view name;
    std::int64_t timeMs = 0;
    /// JSON object with the event's fields.
    std::string fields;
};

/// Formats the audit log of one process as a hash chain. Sequence numbers have no gaps, and the hash of a line covers
/// the hash of the previous line: `sha256(previous hash + sha256(line without its hash))`.
class AuditChain {
public:
    /// @param instance id of the instance that the process runs on
    /// @param incarnation id of this start of the process
    AuditChain(std::string instance, std::string incarnation);

    /// Appends an event to the chain.
    /// @return the formatted line, without a line terminator
    std::string append(const AuditEvent& event);

    const std::string& incarnation() const { return m_incarnation; }
    std::uint64_t sequence() const { return m_sequence; }
    /// Hash of the last line; empty before the first.
    const std::string& head() const { return m_head; }

private:
    std::string m_instance;
    std::string m_incarnation;
    std::uint64_t m_sequence = 0;
    std::string m_head;
};

/// Kinds of inconsistency in an audit log.
enum class AuditFault {
    /// The line is not an audit log record.
    NotARecord,
    /// The record or its predecessor was modified, or its hash differs from that of an anchor.
    Edited,
    /// Records are missing inside the sequence.
    Gap,
    /// A record follows one with a higher sequence number.
    Reordered,
    /// Two records have the same sequence number.
    Duplicated,
    /// The process's first record is missing.
    MissingStart,
    /// The start record of the process occurs more than once.
    DuplicatedStart,
    /// Records are missing at the end of the log.
    Truncated,
};

std::string_view auditFaultName(AuditFault fault);

/// A fault and its position in the log.
struct AuditFinding {
    AuditFault fault = AuditFault::NotARecord;
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// 1-based line number; 0 if the fault belongs to no line.
    std::size_t line = 0;
    std::string message;
};

/// A log position known from an independent source, such as the status page of the process.
struct AuditAnchor {
    /// If empty, the log must contain exactly one process.
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// Hash of the record with this sequence number; empty if unknown.
    std::string hash;
};

/// Extent of the log of one process.
struct AuditLogSummary {
    std::string instance;
    std::uint64_t recordCount = 0;
    std::uint64_t lastSequence = 0;
    std::string head;
};

/// Verifies the logs of one or more processes, whose lines may be interleaved in one file.
class AuditVerifier {
public:
    /// Parses one line; findings are reported by finish().
    /// @param line 1-based line number
    void addLine(std::size_t line, std::string_view text);

    /// Verifies the lines added so far.
    /// @param anchors positions that the log must contain
    std::vector<AuditFinding> finish(const std::vector<AuditAnchor>& anchors) const;

    /// Extent of each process's log, by incarnation.
    std::map<std::string, AuditLogSummary> summaries() const;

private:
    struct Record {
        std::uint64_t sequence = 0;
        std::size_t line = 0;
        std::string bodyHash;
        std::string hash;
        bool isStart = false;
    };
    struct Process {
        std::string instance;
        std::vector<Record> records;
    };

    static void checkProcess(const std::string& incarnation, const Process& process, std::vector<AuditFinding>& out);
    void checkAnchor(const AuditAnchor& anchor, std::vector<AuditFinding>& out) const;

    std::map<std::string, Process> m_processes;
    std::vector<AuditFinding> m_invalidLines;
};

} // namespace wisteriayard
