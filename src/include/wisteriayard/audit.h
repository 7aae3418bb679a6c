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

/// One event before it is chained.
struct AuditEvent {
    int number = 0;
    std::string_view name;
    std::int64_t timeMs = 0;
    /// JSON object with the event's fields.
    std::string fields;
};

/// Makes the lines of one process's log. Each line has a sequence number without gaps, and a hash over the
/// hash of the line before and the line itself: `sha256(previous hash + sha256(line without its hash))`.
class AuditChain {
public:
    /// @param instance id of the instance
    /// @param incarnation id of this start of the process
    AuditChain(std::string instance, std::string incarnation);

    /// Chains an event. @return the line, without a line end
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

/// What is wrong with a log.
enum class AuditFault {
    /// The line is not a record of a log.
    NotARecord,
    /// The record or its predecessor was changed.
    Edited,
    /// Records are missing between others.
    Gap,
    /// A record stands behind a later one.
    Reordered,
    /// Two records have the same sequence number.
    Duplicated,
    /// The process's first record is missing.
    MissingStart,
    /// A process's first record occurs again.
    DuplicatedStart,
    /// Records after the last one are missing, or the chain ends with another hash than stated.
    Truncated,
};

std::string_view auditFaultName(AuditFault fault);

/// One fault that was found.
struct AuditFinding {
    AuditFault fault = AuditFault::NotARecord;
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// Line of the file, from 1; 0 if the fault has no line.
    std::size_t line = 0;
    std::string message;
};

/// A position of a log that is known from elsewhere, for instance from the status page of the process.
struct AuditAnchor {
    /// Empty: the only process in the log.
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// Hash of the record at that sequence number; empty if not known.
    std::string hash;
};

/// Length of the log of one process.
struct AuditLength {
    std::string instance;
    std::uint64_t records = 0;
    std::uint64_t lastSequence = 0;
    std::string head;
};

/// Checks the lines of one or more processes' logs, also when they are mixed in one file.
class AuditVerifier {
public:
    /// Takes in one line.
    /// @param line its number, from 1
    void take(std::size_t line, std::string_view text);

    /// Checks what was taken in.
    /// @param anchors positions that the log must reach
    std::vector<AuditFinding> finish(const std::vector<AuditAnchor>& anchors) const;

    /// Length by incarnation.
    std::map<std::string, AuditLength> lengths() const;

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
    std::vector<AuditFinding> m_badLines;
};

} // namespace wisteriayard
