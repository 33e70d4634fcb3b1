#ifndef ALMOND_CONTROLLERS_CONFIG_HOLDER_H_
#define ALMOND_CONTROLLERS_CONFIG_HOLDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libalmond/config/config_document.h"
#include "libalmond/config/config_model.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// Sender of a configuration.
enum class config_source : std::uint8_t {
  leader,  ///< control leader that has confirmed its leadership
  peer     ///< another process of the system
};

/// The active configuration of a process. Its version never decreases.
class config_holder {
 public:
  struct hooks {
    /// Merges a document for this process's data centre, see ResolveConfig;
    /// returns nothing if the document is invalid.
    std::function<std::optional<data_centre_config>(const config_document&,
                                                    const data_centre_id&)>
        resolve;
    /// Called after another version has become active; may be empty.
    std::function<void()> on_change;
  };

  /// @param data_centre selects the overlay
  config_holder(data_centre_id data_centre, hooks callbacks);

  /// Activates a configuration if its version is higher than the active one. An
  /// equal version from the leader confirms the active one.
  /// @param document config_document::Serialize
  /// @returns true if it became active; false if its version is not higher, or
  ///   the document cannot be parsed or is invalid
  bool ApplyIfNewer(config_version version, const std::string& document,
                    config_source source);
  /// Handles the newest version announced by the control leader. It confirms
  /// the active version unless it is lower: a deposed leader that does not know
  /// yet that it was replaced may announce a lower version.
  void OnNewestVersion(config_version newest);

  /// @returns the active version; 0 if there is none
  config_version Version() const { return version_; }
  /// @returns the serialized active document, to be sent to peers; empty if
  ///   there is none
  const std::string& Document() const { return document_; }
  /// @returns SHA-256 of the active document; empty if there is none
  const std::string& Digest() const { return digest_; }
  /// @returns the active settings for this data centre, or null. They stay
  ///   valid for the holder of the pointer when another version becomes active.
  std::shared_ptr<const data_centre_config> Site() const { return site_; }
  /// @returns true if the control leader has sent or announced this version
  bool Confirmed() const { return confirmed_; }

 private:
  data_centre_id data_centre_;
  hooks hooks_;
  config_version version_;
  std::string document_;
  std::string digest_;
  std::shared_ptr<const data_centre_config> site_;
  bool confirmed_ = false;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONFIG_HOLDER_H_
