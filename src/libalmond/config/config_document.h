#ifndef ALMOND_CONFIG_CONFIG_DOCUMENT_H_
#define ALMOND_CONFIG_CONFIG_DOCUMENT_H_

#include <map>
#include <optional>
#include <string>

#include "libalmond/core/identifiers.h"

namespace almond {

/// A complete configuration as the operator wrote it: the YAML texts of the
/// base file and the overlays.
struct config_document {
  std::string base;
  std::map<data_centre_id, std::string> overlays;

  bool operator==(const config_document&) const = default;

  /// @returns a text form that Parse reads, for messages and the control log
  std::string Serialize() const;
  /// @param text from Serialize
  /// @returns the document, or nothing if the text is malformed
  static std::optional<config_document> Parse(const std::string& text);
  /// @returns SHA-256 of the content in hexadecimal digits
  std::string Digest() const;
};

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_DOCUMENT_H_
