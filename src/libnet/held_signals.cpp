#include "held_signals.h"

#include <pthread.h>

namespace wisteriayard {

HeldSignals::HeldSignals(std::initializer_list<int> signals)
{
    sigset_t held;
    sigemptyset(&held);
    for (int signal : signals)
        sigaddset(&held, signal);
    pthread_sigmask(SIG_BLOCK, &held, &m_former);
}

void HeldSignals::release()
{
    if (m_held)
        pthread_sigmask(SIG_SETMASK, &m_former, nullptr);
    m_held = false;
}

} // namespace wisteriayard
