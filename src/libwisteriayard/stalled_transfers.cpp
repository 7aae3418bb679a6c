#include "wisteriayard/stalled_transfers.h"

namespace wisteriayard {

const char* slowClientCauseName(SlowClientCause cause)
{
    return cause == SlowClientCause::StalledUpload ? "stalled_upload" : "unread_response";
}

void StalledTransfers::Entry::progressed(Bytes held, TimePoint now, Bytes expected)
{
    auto& order = m_transfers.m_order;
    if (m_isListed)
        order.splice(order.end(), order, m_position);
    else
        m_position = order.insert(order.end(), this);
    m_isListed = true;
    if (m_number == 0)
        m_number = ++m_transfers.m_lastNumber;
    m_expected = expected;
    m_progressAt = now;
    m_held = held;
}

void StalledTransfers::Entry::remove()
{
    if (m_isListed)
        m_transfers.m_order.erase(m_position);
    m_isListed = false;
}

Bytes StalledTransfers::expectedBefore(const Entry& transfer, Duration minStall, TimePoint now) const
{
    Bytes sum(0);
    for (auto each = m_order.rbegin(); each != m_order.rend() && now - (*each)->m_progressAt < minStall; ++each) {
        bool isEarlier = transfer.m_number == 0 || (*each)->m_number < transfer.m_number;
        if (isEarlier && *each != &transfer)
            sum += (*each)->m_expected;
    }
    return sum;
}

bool StalledTransfers::extend(
    ByteReservation& reservation, const TransferNeed& need, const Entry& transfer, Duration minStall, TimePoint now)
{
    Bytes spare = need.spare + need.expected;
    if (reservation.extendTo(need.size, spare))
        return true;
    if (reservation.canExtendTo(need.size, need.spare))
        return false;
    if (!reservation.canExtendTo(need.size, spare, heldByStalled(transfer, minStall, now)))
        return false;
    while (!reservation.extendTo(need.size, spare)) {
        if (!endLongestStalled(transfer, minStall, now))
            return false;
    }
    return true;
}

Bytes StalledTransfers::heldByStalled(const Entry& transfer, Duration minStall, TimePoint now) const
{
    Bytes sum(0);
    for (const Entry* each : m_order) {
        if (now - each->m_progressAt < minStall)
            break;
        if (each != &transfer)
            sum += each->m_held;
    }
    return sum;
}

bool StalledTransfers::endLongestStalled(const Entry& transfer, Duration minStall, TimePoint now)
{
    Entry* chosen = nullptr;
    TimePoint oldest {};
    for (Entry* each : m_order) {
        if (now - each->m_progressAt < minStall || (chosen && each->m_progressAt - oldest >= equalTime))
            break;
        if (each == &transfer || each->m_held <= Bytes(0))
            continue;
        if (!chosen)
            oldest = each->m_progressAt;
        if (!chosen || each->m_held > chosen->m_held)
            chosen = each;
    }
    if (!chosen)
        return false;
    chosen->remove();
    // The function may destroy the entry.
    std::function<void()> end = chosen->m_end;
    end();
    return true;
}

} // namespace wisteriayard
