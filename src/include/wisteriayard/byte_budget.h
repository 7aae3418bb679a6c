#pragma once

#include "wisteriayard/units.h"

#include <string>

namespace wisteriayard {

/// Limit on the memory of one kind of content that a process holds for many requests. Not thread-safe.
class ByteBudget {
public:
    explicit ByteBudget(Bytes limit)
        : m_limit(limit)
    {
    }

    /// A budget that is a part of another one, whose reservations count in both.
    /// @param outer must live longer
    /// @param outerSpare part of the outer budget that reservations of this one leave free
    ByteBudget(Bytes limit, ByteBudget& outer, Bytes outerSpare)
        : m_limit(limit)
        , m_outer(&outer)
        , m_outerSpare(outerSpare)
    {
    }

    /// Total of all reservations, including those of budgets that are a part of this one.
    Bytes reserved() const { return m_reserved; }

private:
    friend class ByteReservation;

    bool hasRoom(Bytes more, Bytes spare, Bytes released) const;
    void add(Bytes more);

    Bytes m_limit;
    ByteBudget* m_outer = nullptr;
    Bytes m_outerSpare { 0 };
    Bytes m_reserved { 0 };
};

/// Part of a budget. It is returned to the budget, which must live longer, at destruction.
class ByteReservation {
public:
    explicit ByteReservation(ByteBudget& budget)
        : m_budget(budget)
    {
    }
    ByteReservation(const ByteReservation&) = delete;
    ByteReservation& operator=(const ByteReservation&) = delete;
    ~ByteReservation() { shrinkTo(Bytes(0)); }

    /// Extends the reservation to at least the given size.
    /// @param spare part of the budget that the extension must leave free
    /// @return false, without any change, if the budget doesn't allow it
    [[nodiscard]] bool extendTo(Bytes size, Bytes spare = Bytes(0));
    /// Whether extendTo() would succeed after the release of other reservations of the same budget.
    /// @param released sum of those reservations
    bool canExtendTo(Bytes size, Bytes spare, Bytes released = Bytes(0)) const;
    /// Returns all above the given size to the budget.
    void shrinkTo(Bytes size);
    Bytes size() const { return m_size; }

private:
    ByteBudget& m_budget;
    Bytes m_size { 0 };
};

/// Text and the memory reserved for it.
struct ReservedText {
    explicit ReservedText(ByteBudget& budget)
        : reservation(budget)
    {
    }

    ByteReservation reservation;
    std::string text;
};

} // namespace wisteriayard
