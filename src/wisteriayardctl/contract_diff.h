#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriayard::ctl {

/// A field whose values differ between two contracts.
struct FieldDifference {
    /// Path such as `limits.tokens_per_s` or `classes[chat].tier`.
    std::string path;
    /// JSON text of the value in the first and second contract; empty if the field is absent there.
    std::string first;
    std::string second;
};

/// Compares two contracts field by field; request classes are matched by name.
/// @return the differing fields, ordered by path; a different order of classes is reported as the field `classes`
std::vector<FieldDifference> differingFields(std::string_view first, std::string_view second);

} // namespace wisteriayard::ctl
