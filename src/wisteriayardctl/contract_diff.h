#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard::ctl {

/// A field in which two contracts differ.
struct FieldDifference {
    /// For instance `limits.tokens_per_s` or `classes[chat].tier`.
    std::string path;
    /// JSON text of the first contract's value; empty if it has none.
    std::string first;
    std::string second;
};

/// Compares two contracts field by field; request classes are matched by name.
/// @return the differing fields, ordered by path; the order of classes is the field `classes`
std::vector<FieldDifference> differingFields(std::string_view first, std::string_view second);

} // namespace wisteriayard::ctl
