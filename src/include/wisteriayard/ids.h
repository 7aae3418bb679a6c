#pragma once

#include "wisteriayard/strong.h"

namespace wisteriayard {

/// A client account, the customer of a contract.
using AccountId = StrongString<struct AccountIdTag>;
/// A request class of a contract, for instance `lookup`.
using ClassId = StrongString<struct ClassIdTag>;
/// A back end: a model engine or a plain service replica.
using EndpointId = StrongString<struct EndpointIdTag>;
/// A running machine of the platform.
using InstanceId = StrongString<struct InstanceIdTag>;
/// What a request is addressed to: the name of a model or of a plain service.
using TargetId = StrongString<struct TargetIdTag>;
/// An availability zone.
using ZoneId = StrongString<struct ZoneIdTag>;
/// A region, a group of zones.
using RegionId = StrongString<struct RegionIdTag>;
/// One request of a caller, over all its attempts.
using RequestId = StrongString<struct RequestIdTag>;
/// Lower-case hexadecimal SHA-256 of a caller's key.
using KeyHash = StrongString<struct KeyHashTag>;

} // namespace wisteriayard
