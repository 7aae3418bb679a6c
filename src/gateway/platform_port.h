#pragma once

#include "store_client.h"
#include "wisteriayard/endpoint_placement.h"
#include "wisteriayard/error.h"
#include "wisteriayard/ids.h"
#include "wisteriayard/route_table.h"
#include "wisteriayard/units.h"
#include "wisteriayard/usage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

using HttpFields = boost::beast::http::fields;

/// What the head of a caller's request says.
struct RequestTraits {
    RequestId id;
    /// How long the caller waits for the answer.
    std::optional<Duration> timeLeft;
    /// Key that the caller presented; goes no further than the lookup of its account.
    std::string key;
    /// In the order of the prompt.
    std::vector<PromptSegment> prompt;
    Tokens promptTokens { 0 };
    /// Most tokens that the answer may have.
    Tokens maxOutput { 0 };
    /// The caller's own estimate of the answer's length.
    std::optional<Tokens> outputHint;
    /// The caller has the events up to this one.
    std::optional<std::int64_t> resumeAfter;
};

/// What an entry adds to a request that it passes on.
struct OfferHeaders {
    EndpointId endpoint;
    Duration timeLeft {};
    std::optional<AccountId> account;
    /// Set for engines.
    std::optional<Priority> priority;
    /// Resumes a stream after this event.
    std::optional<std::int64_t> resumeAfter;
};

/// What the head of an endpoint's answer says of the request.
enum class AnswerClaim {
    /// The request ran, and the answer is the endpoint's own.
    Ran,
    /// The endpoint states that the request has not run.
    NotRun,
    /// Another endpoint has the address; the request has not run.
    Misdirected,
    /// The answer can't be trusted; the request may have run.
    Unusable,
};

/// Head of an endpoint's answer, decoded.
struct AnswerTraits {
    AnswerClaim claim = AnswerClaim::Unusable;
    /// Request that the answer belongs to; empty if it does not say.
    RequestId request;
    /// How long the endpoint keeps the connection open when idle, if it says so.
    std::optional<Duration> idleTimeout;
    /// The endpoint wants no new requests from now on and ends soon.
    bool leaving = false;
    /// The endpoint turned the request away and wants no further one from this entry for so long.
    std::optional<Duration> pause;
    /// Text of such a time that can't be read as a number of seconds.
    std::string unreadablePause;
};

/// State of an endpoint in the list of endpoints.
enum class EndpointState {
    Ready,
    /// It takes no new requests and ends soon.
    Draining,
};

/// One entry of the list of endpoints.
struct EndpointRecord {
    EndpointId id;
    TargetId target;
    boost::asio::ip::tcp::endpoint address;
    ZoneId zone;
    EndpointState state = EndpointState::Ready;
    int slots = 1;
    Incarnation incarnation { 0 };
};

/// Settings of a gateway process that come from the platform.
struct GatewaySettings {
    InstanceId instance;
    ZoneId zone;
    RegionId region;
    std::map<ZoneId, RegionId> zones;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::tcp::endpoint readyAddress;
    /// First of the ports for traffic between instances.
    std::uint16_t peerPort = 0;
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint reports;
    Bytes memory { 128 * 1024 * 1024 };
    int descriptors = 1024;
    /// From SIGTERM to SIGKILL.
    Duration shutdownGrace = std::chrono::seconds(8);
    /// Retries of all instances together may be this share of the requests of a service ...
    double retryRatio = 0.2;
    /// ... and this many more in each window.
    double retrySlack = 50;
    Duration leaseTime = std::chrono::seconds(3);
    /// The platform refuses calls with a lower fencing token than it has seen.
    bool checksFencing = false;
    Duration usageWindow = std::chrono::seconds(5);
    /// Largest delay of a usage report after the end of its window.
    Duration usageDelay = std::chrono::seconds(10);
    /// Usage is to be reported.
    bool reportsUsage = false;
};

/// The platform's manner of speaking, as far as requests go. Decides nothing.
class WireCodec {
public:
    virtual ~WireCodec() = default;

    /// @return the traits, or InvalidArgument for a head that the platform does not allow
    virtual Result<RequestTraits> decodeRequest(const HttpFields& fields) const = 0;
    /// Whether a header is the entry's to set, so that a caller's copy is dropped.
    virtual bool isReserved(std::string_view name) const = 0;
    /// Appends the entry's own header lines to a request's head.
    virtual void appendOffer(std::string& head, const OfferHeaders& offer) const = 0;
    virtual AnswerTraits decodeAnswer(unsigned status, const HttpFields& fields) const = 0;
    /// Appends the header lines of an answer of the entry itself.
    virtual void appendOwnAnswer(std::string& head, const RequestId& request) const = 0;
};

/// The platform's documents and services. Decides nothing.
class PlatformPort {
public:
    virtual ~PlatformPort() = default;

    virtual const WireCodec& codec() const = 0;
    virtual std::unique_ptr<StoreClient> makeStore(boost::asio::any_io_executor executor, Duration timeout) const = 0;

    virtual std::string configPrefix() const = 0;
    virtual std::string configKey() const = 0;
    /// @return the configuration, or Protocol that names the field
    virtual Result<RoutingConfig> decodeConfig(std::string_view document) const = 0;

    virtual std::string endpointPrefix() const = 0;
    /// @return the record, or Protocol that names the field
    virtual Result<EndpointRecord> decodeEndpoint(std::string_view key, std::string_view document) const = 0;

    /// Path that the platform asks for readiness at.
    virtual std::string readyPath() const = 0;
    /// Sends the report of a usage window.
    /// @return Conflict if the receiver knows a newer holder; Unavailable if it refused; Timeout or Protocol if it may
    /// have taken the report
    virtual boost::asio::awaitable<Status> sendUsage(boost::asio::any_io_executor executor, WindowId window,
        Epoch epoch, const std::map<AccountId, std::int64_t>& requests, Duration timeout) const = 0;
};

} // namespace wisteriayard
