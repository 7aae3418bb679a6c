#pragma once

#include "store_client.h"
#include "store_era.h"
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
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard {

using HttpFields = boost::beast::http::fields;

/// Header of a caller's request, decoded.
struct RequestTraits {
    RequestId id;
    /// How long the caller waits for the response.
    std::optional<Duration> timeLeft;
    /// API key of the caller, used only to look up its account.
    std::string key;
    /// Segments of the prompt, in order.
    std::vector<PromptSegment> prompt;
    Tokens promptTokens { 0 };
    /// Upper limit on the tokens of the response.
    Tokens maxOutput { 0 };
    /// The caller's estimate of the response's length.
    std::optional<Tokens> outputHint;
    /// Id of the last event that the caller has received, for resuming a stream.
    std::optional<std::int64_t> resumeAfter;
};

/// Header values that the gateway adds to a request it forwards to an endpoint.
struct ForwardingHeaders {
    EndpointId endpoint;
    Duration timeLeft {};
    std::optional<AccountId> account;
    /// Set for engine endpoints only.
    std::optional<Priority> priority;
    /// The endpoint resumes the stream after this event.
    std::optional<std::int64_t> resumeAfter;
};

/// Whether an endpoint executed a request, according to the header of its response.
enum class ExecutionStatus {
    /// The request was executed; the response carries the endpoint's response seal.
    Executed,
    /// The endpoint states that it has not executed the request.
    NotExecuted,
    /// Another endpoint now has the address; the request was not executed.
    Misdirected,
    /// The response can't be trusted; the request may have been executed.
    Unknown,
};

/// Header of an endpoint's response, decoded.
struct ResponseTraits {
    ExecutionStatus execution = ExecutionStatus::Unknown;
    /// Id of the request that the response belongs to; empty if the header does not state it.
    RequestId request;
    /// How long the endpoint keeps an idle connection open, if stated.
    std::optional<Duration> idleTimeout;
    /// The endpoint is shutting down and must get no new requests.
    bool leaving = false;
    /// Time for which this process must send no further request, stated by an endpoint that rejected the request.
    std::optional<Duration> pause;
    /// Value of the pause field if it is not a valid number of seconds.
    std::string invalidPause;
    /// Rate of requests that the endpoint accepts from all entries together; absent if the response names none.
    std::optional<RequestRate> rateLimit;
    /// Value of the rate limit field if it is not a rate: neither a new limit nor the end of the former one.
    std::string invalidRateLimit;
    /// Time for which the endpoint will be cold; absent if the response states none.
    std::optional<Duration> coldTime;
    /// Value of the cold time field if it is not a plausible number of milliseconds.
    std::string invalidColdTime;
};

/// State of an endpoint as published in the list of endpoints.
enum class EndpointState {
    Ready,
    /// Accepts no new requests and stops soon.
    Draining,
};

/// An endpoint as published in the list of endpoints.
struct EndpointRecord {
    EndpointId id;
    TargetId target;
    boost::asio::ip::tcp::endpoint address;
    ZoneId zone;
    EndpointState state = EndpointState::Ready;
    int slots = 1;
    Incarnation incarnation { 0 };
    /// Time for which the endpoint will be cold from the write of the record on; absent if it states none.
    std::optional<Duration> coldTime;
    /// What is wrong with the statement of that time; empty if nothing is.
    std::string coldTimeProblem;
};

/// Settings of a gateway process that the platform provides.
struct GatewaySettings {
    InstanceId instance;
    ZoneId zone;
    RegionId region;
    std::map<ZoneId, RegionId> zones;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::tcp::endpoint readyAddress;
    /// First port of the range for traffic between instances.
    std::uint16_t peerPort = 0;
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint reports;
    Bytes memory { 128 * 1024 * 1024 };
    /// Part of the memory for heads of requests; absent for the default.
    std::optional<Bytes> headMemory;
    /// Descriptors that the process may have open.
    int descriptors = 1024;
    /// Time from SIGTERM to SIGKILL.
    Duration shutdownGrace = std::chrono::seconds(8);
    /// Limit on the retries of all instances together per window: this share of the requests of a service, plus
    /// retrySlack.
    double retryRatio = 0.2;
    /// Number of retries per window allowed in addition to the share.
    double retrySlack = 50;
    Duration leaseTime = std::chrono::seconds(3);
    /// The platform rejects calls whose fencing token is lower than one it has seen.
    bool checksFencing = false;
    Duration usageWindow = std::chrono::seconds(5);
    /// Largest delay of a usage report after the end of its window.
    Duration usageDelay = std::chrono::seconds(10);
    /// The gateway sends usage reports to the platform.
    bool reportsUsage = false;
    /// Entries tell each other at which endpoints their requests fail, because health checks may be wrong.
    bool sharesFailures = false;
    /// Entries decide together which callers are served first when capacity is short.
    bool sharesCapacity = false;
    /// Engines crash if the requests that they hold exceed their memory.
    bool enginesEnforceMemory = false;
    /// In any second, all entries together may send this multiple of the rate that a cold endpoint accepts, plus
    /// coldSlack requests.
    double coldExcess = 1;
    double coldSlack = 1;
    /// Fields that are not valid, but do not make the settings unusable.
    std::vector<InvalidField> invalidFields;

    /// Regions of all zones and of this entry.
    std::set<RegionId> regions() const;
};

/// Encodes and decodes the platform's HTTP headers. Contains no routing or retry decisions.
class WireCodec {
public:
    virtual ~WireCodec() = default;

    /// @return the traits, or InvalidArgument for a header that violates the platform's rules
    virtual Result<RequestTraits> decodeRequest(const HttpFields& fields) const = 0;
    /// Whether only the gateway may set a header, so that the caller's value is dropped.
    virtual bool isReserved(std::string_view name) const = 0;
    /// Appends the header lines that the gateway adds to a forwarded request.
    virtual void appendForwardingHeaders(std::string& head, const ForwardingHeaders& headers) const = 0;
    virtual ResponseTraits decodeResponse(unsigned status, const HttpFields& fields) const = 0;
    /// Appends the platform's header lines of a response that the gateway generates itself.
    virtual void appendLocalResponseHeaders(std::string& head, const RequestId& request) const = 0;
};

/// Access to the platform's store, documents and services. Contains no routing or retry decisions.
class PlatformPort {
public:
    virtual ~PlatformPort() = default;

    virtual const WireCodec& codec() const = 0;
    /// @param eras records the era of each response
    virtual std::unique_ptr<StoreClient> makeStore(
        boost::asio::any_io_executor executor, Duration timeout, std::shared_ptr<StoreEraMonitor> eras) const = 0;

    /// Prefix of the operator's keys: the configuration and the evacuations.
    virtual std::string configPrefix() const = 0;
    virtual std::string configKey() const = 0;
    /// Prefix of the keys that request the evacuation of a zone; the rest of the key is the zone's name.
    virtual std::string evacuationPrefix() const = 0;
    /// @return the configuration, or a Protocol error that names the invalid field
    virtual Result<RoutingConfig> decodeConfig(std::string_view document) const = 0;

    virtual std::string endpointPrefix() const = 0;
    /// @return the record, or a Protocol error that names the invalid field
    virtual Result<EndpointRecord> decodeEndpoint(std::string_view key, std::string_view document) const = 0;

    /// Path at which the platform polls readiness.
    virtual std::string readyPath() const = 0;
    /// Sends the report of a usage window.
    /// @return Conflict if the receiver has seen a newer epoch; Unavailable if it rejected the report; Timeout or
    /// Protocol if it may have accepted the report
    virtual boost::asio::awaitable<Status> sendUsage(boost::asio::any_io_executor executor, WindowId window,
        Epoch epoch, const std::map<AccountId, std::int64_t>& requests, Duration timeout) const = 0;
};

} // namespace wisteriayard
