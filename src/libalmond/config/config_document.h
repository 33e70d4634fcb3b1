#ifndef ALMOND_CONFIG_CONFIG_DOCUMENT_H_
#define ALMOND_CONFIG_CONFIG_DOCUMENT_H_

#include <map>
#include <optional>
#include <string>

#include "libalmond/core/identifiers.h"

namespace almond {

/// A whole configuration as the operator wrote it: the base file and the
/// overlays, as YAML text.
struct config_document {
  std::string base;
  std::map<data_centre_id, std::string> overlays;

  bool operator==(const config_document&) const = default;

  /// @returns one text that Parse reads back, for messages and the log
  std::string Serialize() const;
  /// @param text from Serialize
  /// @returns the document, or nothing if the text is damaged
  static std::optional<config_document> Parse(const std::string& text);
  /// @returns SHA-256 of the content in hexadecimal digits
  std::string Digest() const;
};

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_DOCUMENT_H_
