#ifndef ALMOND_CONFIG_YAML_TREE_H_
#define ALMOND_CONFIG_YAML_TREE_H_

#include <string>
#include <vector>

#include "libalmond/config/config_loader.h"

namespace almond {

struct yaml_field;

/// A parsed YAML value. Keeps the order of keys and repeated keys, so that
/// the check can name them.
struct yaml_value {
  enum class type { null, scalar, sequence, mapping };

  type kind = type::null;
  std::string text;     ///< value of a scalar
  bool quoted = false;  ///< a quoted scalar is text, never a number or flag
  int line = 0;         ///< counted from 1
  std::vector<yaml_value> items;   ///< of a sequence
  std::vector<yaml_field> fields;  ///< of a mapping
};

/// One key of a mapping with its value.
struct yaml_field {
  std::string key;
  yaml_value value;
};

/// Parses one YAML document without anchors, aliases, tags and tabs. Anchors
/// and aliases are refused since a short text with nested aliases stands for
/// an exponentially large one.
/// @param text content of the file
/// @param file name for the errors
/// @param[out] errors gets one entry for each fault
/// @returns the document; null if the text could not be parsed
yaml_value ParseYaml(const std::string& text, const std::string& file,
                     std::vector<config_error>& errors);

}  // namespace almond

#endif  // ALMOND_CONFIG_YAML_TREE_H_
