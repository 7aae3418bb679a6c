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

/// Number of a usage window: wall-clock time divided by the window's length.
using WindowId = StrongNumber<struct WindowIdTag, std::int64_t>;
/// One run of an entry process; differs after each start.
using IncarnationId = StrongString<struct IncarnationIdTag>;

/// What was used.
struct UsageFigures {
    std::int64_t requests = 0;
    Tokens prompt { 0 };
    /// Prompt tokens that came from a prefix cache; part of prompt.
    Tokens cached { 0 };
    Tokens output { 0 };
    /// Time that endpoints worked, in microseconds.
    Duration endpoint { 0 };

    UsageFigures& operator+=(const UsageFigures& other);
    UsageFigures& operator-=(const UsageFigures& other);
    friend auto operator<=>(const UsageFigures&, const UsageFigures&) = default;
};

/// To whom usage is billed.
struct UsageKey {
    AccountId account;
    ClassId requestClass;
    friend auto operator<=>(const UsageKey&, const UsageKey&) = default;
};

using UsageLines = std::map<UsageKey, UsageFigures>;

/// Usage of one window, with that of closed windows which came too late for them.
struct UsageContent {
    UsageLines lines;
    /// By the window in which the usage arose.
    std::map<WindowId, UsageLines> late;
    friend bool operator==(const UsageContent&, const UsageContent&) = default;
};

/// Cumulative usage of one entry in one window, as written to the store.
struct UsagePart {
    /// Grows with each changed part of the window.
    std::uint64_t sequence = 0;
    UsageContent content;
};

/// The immutable record of a closed window.
struct UsageFinal {
    WindowId window;
    UsageContent content;
    /// Which part of each entry the record counts.
    std::map<IncarnationId, std::uint64_t> counted;
};

/// Counts the usage of one entry and knows what of it the final records have counted (protocol P2).
class UsageLedger {
public:
    explicit UsageLedger(IncarnationId self);

    /// Counts usage in a window, or in the next open one if the window is settled.
    void count(WindowId window, const UsageKey& key, const UsageFigures& figures);

    /// The part of a window that has to be written.
    /// @return nothing if the store has confirmed all of it
    std::optional<UsagePart> nextPart(WindowId window);
    /// The store confirmed a part.
    void partStored(WindowId window, std::uint64_t sequence);
    /// Takes in a window's final record: what it did not count becomes late usage of the open window.
    /// @return requests that came late
    std::int64_t settle(const UsageFinal& final, WindowId open);
    /// The same by what the record says of this entry.
    /// @param counted number of the part that the record counts; none if it counts no part of this entry
    std::int64_t settle(WindowId window, std::optional<std::uint64_t> counted, WindowId open);
    /// Forgets a window whose final record is no longer known.
    void drop(WindowId window);
    /// Windows that are not settled, oldest first.
    std::vector<WindowId> windows() const;

private:
    struct Window {
        UsageContent content;
        std::uint64_t sequence = 0;
        std::uint64_t stored = 0;
        /// Parts that may have reached the store, by sequence number.
        std::map<std::uint64_t, UsageContent> written;
    };

    Window& openWindow(WindowId window);

    IncarnationId m_self;
    std::map<WindowId, Window> m_windows;
    std::optional<WindowId> m_settled;
};

/// Adds the parts of a window up.
UsageFinal makeUsageFinal(WindowId window, const std::map<IncarnationId, UsagePart>& parts);

/// @name Records as JSON; equal records have equal text
/// @{
std::string usagePartJson(const UsagePart& part);
std::string usageFinalJson(const UsageFinal& final);
/// @return the part, or Protocol that names the field
Result<UsagePart> parseUsagePart(std::string_view json);
/// @return the record, or Protocol that names the field
Result<UsageFinal> parseUsageFinal(std::string_view json);
/// @}

} // namespace wisteriayard
