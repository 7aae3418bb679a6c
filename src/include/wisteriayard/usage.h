#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

/// Number of a usage window: wall-clock time divided by the length of a window.
using WindowId = StrongNumber<struct WindowIdTag, std::int64_t>;
/// One run of an entry process; differs after each start.
using IncarnationId = StrongString<struct IncarnationIdTag>;

/// Amounts of usage.
struct UsageFigures {
    std::int64_t requests = 0;
    Tokens prompt { 0 };
    /// Prompt tokens that came from a prefix cache; part of prompt.
    Tokens cached { 0 };
    Tokens output { 0 };
    /// Time that endpoints spent on the requests.
    Duration endpointTime { 0 };

    UsageFigures& operator+=(const UsageFigures& other);
    UsageFigures& operator-=(const UsageFigures& other);
    friend auto operator<=>(const UsageFigures&, const UsageFigures&) = default;
};

/// Account and request class to which usage is billed.
struct UsageKey {
    AccountId account;
    ClassId requestClass;
    friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

using UsageLines = std::map<UsageKey, UsageFigures>;

/// Usage of one window, and usage of earlier windows that was reported after they were closed.
struct UsageContent {
    UsageLines lines;
    /// By the window in which the usage arose.
    std::map<WindowId, UsageLines> late;
    friend bool operator==(const UsageContent&, const UsageContent&) = default;
};

/// Cumulative usage of one entry in one window, as written to the store.
struct PartialUsageRecord {
    /// Increases with each changed record of the window.
    std::uint64_t sequence = 0;
    UsageContent content;
};

/// The immutable record of a closed window.
struct FinalUsageRecord {
    WindowId window;
    UsageContent content;
    /// Sequence number of the partial record that is included, for each entry.
    std::map<IncarnationId, std::uint64_t> counted;
};

/// Counts the usage of one entry and tracks how much of it the final usage records include (protocol P2).
class UsageLedger {
public:
    explicit UsageLedger(IncarnationId self);

    /// Adds usage to a window, or to the next open one if the window is settled.
    void count(WindowId window, const UsageKey& key, const UsageFigures& figures);

    /// Returns the partial usage record of a window that has to be written.
    /// @return nothing if the store has confirmed all usage of the window
    std::optional<PartialUsageRecord> nextPartialRecord(WindowId window);
    /// Records that the store confirmed a partial usage record.
    void partialRecordStored(WindowId window, std::uint64_t sequence);
    /// Records that the store may have lost all partial usage records, so that they have to be written again.
    void partialRecordsLost();
    /// Settles a window by its final usage record: usage that the record does not include becomes late usage of the
    /// open window.
    /// @return number of late requests
    std::int64_t settle(const FinalUsageRecord& final, WindowId open);
    /// Settles a window without the whole record.
    /// @param counted sequence number of the partial record of this entry that the final record includes, if any
    std::int64_t settle(WindowId window, std::optional<std::uint64_t> counted, WindowId open);
    /// Removes a window whose final usage record is no longer stored.
    void drop(WindowId window);
    /// Windows that are not settled, oldest first.
    std::vector<WindowId> windows() const;

private:
    struct Window {
        UsageContent content;
        std::uint64_t sequence = 0;
        std::uint64_t stored = 0;
        /// Contents that may have reached the store, by sequence number.
        std::map<std::uint64_t, UsageContent> written;
    };

    Window& openWindow(WindowId window);

    IncarnationId m_self;
    std::map<WindowId, Window> m_windows;
    std::optional<WindowId> m_settled;
};

/// Number of requests in the window itself, without late ones.
std::int64_t requestCount(const UsageContent& content);

/// Sums up the partial usage records of a window.
FinalUsageRecord makeFinalUsageRecord(WindowId window, const std::map<IncarnationId, PartialUsageRecord>& records);

/// @name JSON form of the records; equal records have equal text
/// @{
std::string partialUsageRecordJson(const PartialUsageRecord& record);
std::string finalUsageRecordJson(const FinalUsageRecord& final);
/// @return the record, or an error Protocol that names the invalid field
Result<PartialUsageRecord> parsePartialUsageRecord(std::string_view json);
/// @return the record, or an error Protocol that names the invalid field
Result<FinalUsageRecord> parseFinalUsageRecord(std::string_view json);
/// @}

} // namespace wisteriayard
