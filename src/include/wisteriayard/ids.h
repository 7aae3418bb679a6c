#pragma once

#include "wisteriayard/strong.h"

namespace wisteriayard {

/// A client account, the customer of a contract.
using AccountId = StrongString<struct AccountIdTag>;
/// A request class of a contract, for instance `lookup`.
using ClassId = StrongString<struct ClassIdTag>;
/// A back end: a model engine or a plain service replica.
using EndpointId = StrongString<struct EndpointIdTag>;
/// A machine of the platform.
using InstanceId = StrongString<struct InstanceIdTag>;
/// Name of the model or plain service that a request is addressed to.
using TargetId = StrongString<struct TargetIdTag>;
/// An availability zone.
using ZoneId = StrongString<struct ZoneIdTag>;
/// A region, a group of zones.
using RegionId = StrongString<struct RegionIdTag>;
/// A request of a caller, the same for all its attempts.
using RequestId = StrongString<struct RequestIdTag>;
/// Lower-case hexadecimal SHA-256 of a caller's key.
using KeyHash = StrongString<struct KeyHashTag>;

} // namespace wisteriayard
