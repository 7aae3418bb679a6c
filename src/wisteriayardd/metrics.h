#pragma once

#include "http_server.h"
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

/// Name of a shortage in metrics and log lines.
std::string shortageName(HttpShortage shortage);

/// Metrics of an entry; thread-safe. Accounts and classes come from contracts, which bounds the number of label sets.
class Metrics {
public:
    Metrics();

    void requestEnded(const AccountId& account, const ClassId& requestClass, const std::string& outcome);
    void firstToken(const AccountId& account, const ClassId& requestClass, Duration time);
    void totalTime(const AccountId& account, const ClassId& requestClass, Duration time);
    void outputTokens(const AccountId& account, const ClassId& requestClass, Tokens tokens);

    /// Counts what a server of callers did because a budget of memory was exhausted.
    void memoryExhausted(HttpShortage shortage);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_tokens;
    prometheus::Family<prometheus::Counter>& m_memoryExhausted;
    prometheus::Family<prometheus::Histogram>& m_firstToken;
    prometheus::Family<prometheus::Histogram>& m_total;
};

} // namespace wisteriayard
