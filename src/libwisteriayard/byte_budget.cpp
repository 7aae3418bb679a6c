#include "wisteriayard/byte_budget.h"

namespace wisteriayard {

bool ByteBudget::hasRoom(Bytes more, Bytes spare, Bytes released) const
{
    if (more > m_limit - spare - m_reserved + released)
        return false;
    return !m_outer || m_outer->hasRoom(more, m_outerSpare, released);
}

void ByteBudget::add(Bytes more)
{
    m_reserved += more;
    if (m_outer)
        m_outer->add(more);
}

bool ByteReservation::canExtendTo(Bytes size, Bytes spare, Bytes released) const
{
    return size <= m_size || m_budget.hasRoom(size - m_size, spare, released);
}

bool ByteReservation::extendTo(Bytes size, Bytes spare)
{
    if (size <= m_size)
        return true;
    if (!canExtendTo(size, spare))
        return false;
    m_budget.add(size - m_size);
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
