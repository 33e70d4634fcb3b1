#ifndef ALMOND_OPERATOR_COMMANDS_LINE_DIFF_H_
#define ALMOND_OPERATOR_COMMANDS_LINE_DIFF_H_

#include <string>

namespace almond {

/// Compares two texts line by line.
/// @param old_name name in the first header line
/// @param new_name name in the second header line
/// @returns a unified diff with three lines of context, or an empty string if
///   the texts are equal
std::string UnifiedDiff(const std::string& old_text,
                        const std::string& new_text,
                        const std::string& old_name,
                        const std::string& new_name);

}  // namespace almond

#endif  // ALMOND_OPERATOR_COMMANDS_LINE_DIFF_H_
