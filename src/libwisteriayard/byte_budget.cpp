#include "wisteriayard/byte_budget.h"

namespace wisteriayard {

bool ByteBudget::hasRoom(Bytes more, Bytes spare) const
{
    return more <= m_limit - spare - m_reserved && (!m_outer || m_outer->hasRoom(more, m_outerSpare));
}

void ByteBudget::add(Bytes more)
{
    m_reserved += more;
    if (m_outer)
        m_outer->add(more);
}

bool ByteReservation::extendTo(Bytes size, Bytes spare)
{
    if (size <= m_size)
        return true;
    Bytes more = size - m_size;
    if (!m_budget.hasRoom(more, spare))
        return false;
    m_budget.add(more);
    m_size = size;
    return true;
}

void ByteReservation::shrinkTo(Bytes size)
{
    if (size >= m_size)
        return;
    m_budget.add(size - m_size);
    m_size = size;
}

} // namespace wisteriayard
