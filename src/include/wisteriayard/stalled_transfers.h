#pragma once

#include "wisteriayard/byte_budget.h"
#include "wisteriayard/units.h"

#include <cstdint>
#include <functional>
#include <list>

namespace wisteriayard {

/// Why a transfer was ended in favour of others.
enum class SlowClientCause {
    /// A request's body that did not arrive; there was no memory for other bodies.
    StalledUpload,
    /// A response that was not read; there was no memory for other responses.
    UnreadResponse,
};

/// Memory that a transfer asks for.
struct TransferNeed {
    /// Size of its reservation.
    Bytes size;
    /// Part of the budget that it leaves free.
    Bytes spare { 0 };
    /// Memory that others will need next and do not hold yet. It is left free as well, but nothing is ended if only
    /// this is missing.
    Bytes expected { 0 };
};

/// Name of a cause in log lines and metrics.
const char* slowClientCauseName(SlowClientCause cause);

/// Transfers of callers that hold memory, in the order of their last progress. Chooses the one that is ended when their
/// memory runs out. Not thread-safe.
class StalledTransfers {
public:
    /// A transfer. It is removed at destruction; the list must live longer.
    class Entry {
    public:
        /// @param end called at most once, when the transfer is ended in favour of others; it is already removed then.
        /// It must release the memory of the transfer at once.
        Entry(StalledTransfers& transfers, std::function<void()> end)
            : m_transfers(transfers)
            , m_end(std::move(end))
        {
        }
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;
        ~Entry() { remove(); }

        /// Adds the transfer, or moves it to the end of the order.
        /// @param held memory that it holds
        /// @param expected memory that it will need next, which transfers that began later leave to it
        void progressed(Bytes held, TimePoint now, Bytes expected = Bytes(0));
        /// Changes the memory that the transfer holds without progress. Does nothing unless it is in the order.
        void hold(Bytes held) { m_held = held; }
        void remove();
        bool isListed() const { return m_isListed; }

    private:
        friend class StalledTransfers;

        StalledTransfers& m_transfers;
        std::function<void()> m_end;
        bool m_isListed = false;
        std::list<Entry*>::iterator m_position;
        TimePoint m_progressAt {};
        Bytes m_held { 0 };
        Bytes m_expected { 0 };
        /// Position in the order in which transfers began; 0 before.
        std::uint64_t m_number = 0;
    };

    /// Difference of the times of the last progress below which two transfers count as equal.
    static constexpr Duration equalTime = std::chrono::milliseconds(100);

    /// Extends a transfer's reservation. Others that hold memory are ended for it, those without progress for the
    /// longest time first; among equal ones that with the most memory.
    /// @param transfer is not ended itself
    /// @param minStall least time without progress of transfers that are ended
    /// @return false, with nothing ended, if the memory of such transfers does not suffice
    [[nodiscard]] bool extend(ByteReservation& reservation, const TransferNeed& need, const Entry& transfer,
        Duration minStall, TimePoint now);
    /// Memory that transfers which began before the given one will need next.
    /// @param minStall time without progress after which a transfer's need does not count
    Bytes expectedBefore(const Entry& transfer, Duration minStall, TimePoint now) const;
    std::size_t size() const { return m_order.size(); }

private:
    /// Sum of the memory of stalled transfers other than the given one.
    Bytes heldByStalled(const Entry& transfer, Duration minStall, TimePoint now) const;
    /// Ends one stalled transfer other than the given one.
    /// @return false if there is none that holds memory
    bool endLongestStalled(const Entry& transfer, Duration minStall, TimePoint now);

    std::list<Entry*> m_order;
    std::uint64_t m_lastNumber = 0;
};

} // namespace wisteriayard
