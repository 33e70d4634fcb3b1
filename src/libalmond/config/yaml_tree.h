#ifndef ALMOND_CONFIG_YAML_TREE_H_
#define ALMOND_CONFIG_YAML_TREE_H_

#include <string>
#include <vector>

#include "libalmond/config/config_loader.h"

namespace almond {

struct yaml_field;

/// A parsed YAML value. Keeps the order of keys and duplicate keys, so that
/// errors can name them.
struct yaml_value {
  enum class type { null, scalar, sequence, mapping };

  type kind = type::null;
  std::string text;     ///< value of a scalar
  bool quoted = false;  ///< if true, a string, never a number or boolean
  int line = 0;         ///< counted from 1
  std::vector<yaml_value> items;   ///< of a sequence
  std::vector<yaml_field> fields;  ///< of a mapping
};

/// One key of a mapping with its value.
struct yaml_field {
  std::string key;
  yaml_value value;
};

/// Parses one YAML document. Tags, tabs, anchors and aliases are errors; the
/// latter two since a short text with nested aliases can expand to an
/// exponentially large one.
/// @param text content of the file
/// @param file file name in the errors
/// @param[out] errors receives one entry for each error
/// @returns the document; a null value if the text could not be parsed
yaml_value ParseYaml(const std::string& text, const std::string& file,
                     std::vector<config_error>& errors);

}  // namespace almond

#endif  // ALMOND_CONFIG_YAML_TREE_H_
