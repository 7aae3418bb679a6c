#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace wisteriayard {

namespace {

    using Labels = std::map<std::string, std::string>;

    const prometheus::Histogram::BucketBoundaries latencySeconds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.54, 1, 2.5, 5,
        10, 30, 60, 300 };

    Labels classLabels(const AccountId& account, const ClassId& requestClass)
    {
        return { { "account", account.value() }, { "class", requestClass.value() } };
    }

} // namespace

std::string shortageName(HttpShortage shortage)
{
    switch (shortage) {
    case HttpShortage::HeadClosed:
        return "unfinished_head_closed";
    case HttpShortage::HeadRefused:
        return "head_refused";
    case HttpShortage::BodyRefused:
        return "body_refused";
    }
    return "unknown";
}

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("wisteriayard_requests_total")
                     .Help("Requests that ended, by account, class and outcome")
                     .Register(*m_registry))
    , m_tokens(prometheus::BuildCounter()
                   .Name("wisteriayard_output_tokens_total")
                   .Help("Output tokens delivered, by account and class")
                   .Register(*m_registry))
    , m_memoryExhausted(prometheus::BuildCounter()
                            .Name("wisteriayard_caller_memory_exhausted_total")
                            .Help("Connections closed and requests refused because memory for callers was exhausted")
                            .Register(*m_registry))
    , m_firstToken(prometheus::BuildHistogram()
                       .Name("wisteriayard_first_token_seconds")
                       .Help("Time from the whole request to the first token, by account and class")
                       .Register(*m_registry))
    , m_total(prometheus::BuildHistogram()
                  .Name("wisteriayard_request_seconds")
                  .Help("Time from the whole request to the whole answer, by account and class")
                  .Register(*m_registry))
{
}

void Metrics::requestEnded(const AccountId& account, const ClassId& requestClass, const std::string& outcome)
{
    Labels labels = classLabels(account, requestClass);
    labels["outcome"] = outcome;
    m_requests.Add(labels).Increment();
}

void Metrics::firstToken(const AccountId& account, const ClassId& requestClass, Duration time)
{
    m_firstToken.Add(classLabels(account, requestClass), latencySeconds).Observe(toSeconds(time));
}

void Metrics::totalTime(const AccountId& account, const ClassId& requestClass, Duration time)
{
    m_total.Add(classLabels(account, requestClass), latencySeconds).Observe(toSeconds(time));
}

void Metrics::outputTokens(const AccountId& account, const ClassId& requestClass, Tokens tokens)
{
    m_tokens.Add(classLabels(account, requestClass)).Increment(static_cast<double>(tokens.value()));
}

void Metrics::memoryExhausted(HttpShortage shortage)
{
    m_memoryExhausted.Add({ { "cause", shortageName(shortage) } }).Increment();
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

} // namespace wisteriayard
