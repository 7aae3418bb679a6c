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

    /// Total of all reservations.
    Bytes reserved() const { return m_reserved; }

private:
    friend class ByteReservation;

    Bytes m_limit;
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
    ~ByteReservation() { m_budget.m_reserved -= m_size; }

    /// Extends the reservation to at least the given size.
    /// @param spare part of the budget that the extension must leave free
    /// @return false, without any change, if the budget doesn't allow it
    [[nodiscard]] bool extendTo(Bytes size, Bytes spare = Bytes(0));
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
