#pragma once

#include "wisteriayard/error.h"

#include <cstddef>
#include <functional>
#include <string>

namespace wisteriayard::ctl {

/// Calls a function with the number, starting at 1, and the text of each line of a file.
/// @return NotFound if the file can't be opened
Status readLines(const std::string& file, const std::function<void(std::size_t, const std::string&)>& handleLine);

} // namespace wisteriayard::ctl
