#pragma once

#include <csignal>
#include <initializer_list>

namespace wisteriayard {

/// Holds back signals that arrive before the program has handlers for them, from its construction until release().
/// Without it a signal during the start ends the process by its default action.
class HeldSignals {
public:
    explicit HeldSignals(std::initializer_list<int> signals);
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;
    ~HeldSignals() { release(); }

    /// Delivers the signals that arrived meanwhile, and all later ones.
    void release();

private:
    sigset_t m_former {};
    bool m_held = true;
};

} // namespace wisteriayard
