#pragma once

#include "wisteriayard/units.h"

namespace wisteriayard {

/// A store that was restored from an older copy gives out revisions and lease numbers again. Therefore these numbers
/// hold the era in their upper bits: those of different eras are never equal, and those of a later era are greater.
/// @{

constexpr int eraShift = 40;
/// Limit of the numbers that a store gives out within an era.
constexpr std::int64_t maxNumberInEra = std::int64_t(1) << eraShift;
/// Limit of eras.
constexpr std::int64_t maxEra = std::int64_t(1) << 22;

/// @param number number as the store names it, from 0 to maxNumberInEra - 1
template <typename Number> constexpr Number inEra(StoreEra era, std::int64_t number)
{
    return Number(era.value() * maxNumberInEra + number);
}

/// Era in which the store gave a number out.
template <typename Number> constexpr StoreEra eraOf(Number number) { return StoreEra(number.value() / maxNumberInEra); }

/// The number as the store names it.
template <typename Number> constexpr std::int64_t numberInEra(Number number)
{
    return number.value() % maxNumberInEra;
}

/// @}

} // namespace wisteriayard
