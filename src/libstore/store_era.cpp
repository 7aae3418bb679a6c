#include "store_era.h"

#include <utility>

namespace wisteriayard {

bool StoreEraMonitor::observe(StoreEra era)
{
    if (era <= m_current)
        return era == m_current;
    StoreEra former = std::exchange(m_current, era);
    if (former == StoreEra(0))
        return true;
    for (const Handler& handler : m_handlers)
        handler(former, era);
    return true;
}

} // namespace wisteriayard
