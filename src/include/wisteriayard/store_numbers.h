#pragma once

#include "wisteriayard/units.h"

namespace wisteriayard {

/// @name Revisions of a store that may be restored
/// A store that was restored from an older copy gives out the same numbers again. Therefore a revision holds the era in
/// its upper bits: those of different eras are never equal, and those of a later era are greater.
/// @{

constexpr int eraShift = 40;
/// Limit of the numbers that a store gives out within an era.
constexpr std::int64_t maxNumberInEra = std::int64_t(1) << eraShift;
/// Limit of eras.
constexpr std::int64_t maxEra = std::int64_t(1) << 22;

/// @param number revision as the store names it, from 0 to maxNumberInEra - 1
constexpr Revision revisionOf(StoreEra era, std::int64_t number)
{
    return Revision(era.value() * maxNumberInEra + number);
}

/// Era in which the store gave a revision out.
constexpr StoreEra eraOf(Revision revision) { return StoreEra(revision.value() / maxNumberInEra); }
/// Era in which the store gave the revision out that serves as a fencing token.
constexpr StoreEra eraOf(Epoch epoch) { return eraOf(Revision(epoch.value())); }

/// The revision as the store names it.
constexpr std::int64_t numberInEra(Revision revision) { return revision.value() % maxNumberInEra; }

/// @}

} // namespace wisteriayard
