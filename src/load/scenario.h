#pragma once

#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/units.h"

#include <boost/asio/ip/tcp.hpp>

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard::load {

/// Period in which the rate of a class is multiplied by a factor.
struct Burst {
    Duration from { 0 };
    Duration until { 0 };
    double factor = 1;
};

/// A request class.
struct LoadClass {
    std::string name;
    std::string key;
    double ratePerSecond = 0;
    /// Model of chat completion requests; empty for calls to a plain HTTP service.
    std::string model;
    bool stream = true;
    std::int64_t promptCharacters = 200;
    /// Mean output length; lengths are uniformly distributed between 0.5 and 1.5 times this.
    std::int64_t outputTokens = 20;
    /// Value of `max_tokens` in the request; 0 omits the field.
    std::int64_t maxTokens = 0;
    /// Method and path of calls to a plain HTTP service, for instance `/services/counter/charges`.
    std::string method = "GET";
    std::string path;
    /// Sends a unique Idempotency-Key with each request.
    bool idempotencyKey = false;
    std::vector<Burst> bursts;
};

/// A load scenario.
struct LoadScenario {
    Duration duration { 0 };
    unsigned seed = 1;
    /// Maximum number of concurrently open connections.
    int maxConnections = 10'000;
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    std::vector<LoadClass> classes;
};

/// A request to send.
struct LoadArrival {
    /// Intended send time, relative to the start of the run.
    Duration at { 0 };
    std::size_t classIndex = 0;
    std::int64_t outputTokens = 0;
    /// Index in order of arrival; makes prompts and idempotency keys unique.
    std::uint64_t number = 0;
};

/// Parses and validates a scenario.
/// @return the scenario, or InvalidArgument with a message that names the field and the allowed values
Result<LoadScenario> parseScenario(std::string_view json);

/// Draws the arrivals of a run as one Poisson process per class, seeded by the scenario.
/// @return arrivals ordered by time
std::vector<LoadArrival> drawArrivals(const LoadScenario& scenario);

} // namespace wisteriayard::load
