#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard::fuzz {

/// A parser that takes bytes of others. It aborts if a rule of its result is broken.
struct Target {
    /// Also the name of its folder in the corpus.
    std::string name;
    void (*run)(std::string_view input);
};

const std::vector<Target>& targets();

} // namespace wisteriayard::fuzz
