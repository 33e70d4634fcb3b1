#ifndef ALMOND_CONFIG_TEXT_CHECK_H_
#define ALMOND_CONFIG_TEXT_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "libalmond/config/config_loader.h"

namespace almond {

/// Checks a text before it is parsed: UTF-8, no tabs, no control characters.
/// @param text content of the file
/// @param file file name in the errors
/// @param[out] errors receives one entry for each invalid line
/// @returns true if the text may be parsed
bool CheckText(std::string_view text, const std::string& file,
               std::vector<config_error>& errors);

/// @returns true if the text is well-formed UTF-8, without overlong forms and
///   surrogates
bool IsUtf8(std::string_view text);

}  // namespace almond

#endif  // ALMOND_CONFIG_TEXT_CHECK_H_
