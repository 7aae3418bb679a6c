#include "wisteriayard/byte_budget.h"

namespace wisteriayard {

bool ByteReservation::extendTo(Bytes size, Bytes spare)
{
    if (size <= m_size)
        return true;
    Bytes more = size - m_size;
    if (more > m_budget.m_limit - spare - m_budget.m_reserved)
        return false;
    m_budget.m_reserved += more;
    m_size = size;
    return true;
}

void ByteReservation::shrinkTo(Bytes size)
{
    if (size >= m_size)
        return;
    m_budget.m_reserved -= m_size - size;
    m_size = size;
}

} // namespace wisteriayard
