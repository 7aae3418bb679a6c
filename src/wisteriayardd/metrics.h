#pragma once

#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Histogram;
} // namespace prometheus

namespace wisteriayard {

/// Metrics of an entry; thread-safe. Accounts and classes come from contracts, which bounds the number of label sets.
class Metrics {
public:
    Metrics();

    void requestEnded(const AccountId& account, const ClassId& requestClass, const std::string& outcome);
    void firstToken(const AccountId& account, const ClassId& requestClass, Duration time);
    void totalTime(const AccountId& account, const ClassId& requestClass, Duration time);
    void outputTokens(const AccountId& account, const ClassId& requestClass, Tokens tokens);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_tokens;
    prometheus::Family<prometheus::Histogram>& m_firstToken;
    prometheus::Family<prometheus::Histogram>& m_total;
};

} // namespace wisteriayard
