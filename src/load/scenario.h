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

/// A part of the run in which a class's rate is multiplied.
struct Burst {
    Duration from { 0 };
    Duration until { 0 };
    double factor = 1;
};

/// One class of requests.
struct LoadClass {
    std::string name;
    std::string key;
    double ratePerSecond = 0;
    /// Model of a chat; empty for a call of a plain service.
    std::string model;
    bool stream = true;
    std::int64_t promptCharacters = 200;
    /// Output lengths are uniform between half and one and a half of this.
    std::int64_t outputTokens = 20;
    /// Part of the answer's length that is sent as `max_tokens`; 0 sends none.
    std::int64_t maxTokens = 0;
    /// Plain service: method and path, `/services/counter/charges` for instance.
    std::string method = "GET";
    std::string path;
    /// Sends a fresh Idempotency-Key with each call.
    bool idempotencyKey = false;
    std::vector<Burst> bursts;
};

/// A load scenario.
struct LoadScenario {
    Duration duration { 0 };
    unsigned seed = 1;
    /// Largest number of connections that are open at once.
    int maxConnections = 10'000;
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    std::vector<LoadClass> classes;
};

/// One request of the run.
struct LoadArrival {
    /// Intended send time from the start of the run.
    Duration at { 0 };
    std::size_t classIndex = 0;
    std::int64_t outputTokens = 0;
    /// Distinguishes prompts and idempotency keys.
    std::uint64_t number = 0;
};

/// Parses and checks a scenario.
/// @return the scenario, or InvalidArgument that names the field and what is allowed
Result<LoadScenario> parseScenario(std::string_view json);

/// Draws the arrivals of a run: a Poisson process for each class, from the scenario's seed.
/// @return arrivals in order of their time
std::vector<LoadArrival> drawArrivals(const LoadScenario& scenario);

} // namespace wisteriayard::load
