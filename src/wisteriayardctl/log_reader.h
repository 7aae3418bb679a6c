#pragma once

#include "wisteriayard/error.h"

#include <cstddef>
#include <functional>
#include <string>

namespace wisteriayard::ctl {

/// Hands over each line of a file with its number, from 1.
/// @return NotFound if the file can't be opened
Status readLines(const std::string& file, const std::function<void(std::size_t, const std::string&)>& take);

} // namespace wisteriayard::ctl
