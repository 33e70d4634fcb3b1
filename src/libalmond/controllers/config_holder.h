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

/// Where a configuration comes from.
enum class config_source : std::uint8_t {
  leader,  ///< the control leader after it confirmed its leadership
  peer     ///< another process of the system
};

/// The configuration in force at one process. Its version only grows.
class config_holder {
 public:
  struct hooks {
    /// Merges a document for this process's data centre, see ResolveConfig;
    /// gives nothing if the document has faults.
    std::function<std::optional<data_centre_config>(const config_document&,
                                                    const data_centre_id&)>
        resolve;
    /// Called after another version came into force; optional.
    std::function<void()> on_change;
  };

  /// @param data_centre selects the overlay
  config_holder(data_centre_id data_centre, hooks callbacks);

  /// Puts a configuration into force if its version is higher than the present
  /// one. The present version from the leader is confirmed by it.
  /// @param document config_document::Serialize
  /// @returns true if it came into force; false for an old version, and for a
  ///   document that is damaged or has faults
  bool ApplyIfNewer(config_version version, const std::string& document,
                    config_source source);
  /// Takes note of the newest version that the control leader announced. It
  /// confirms the version in force unless it is a lower one: a leader that was
  /// replaced without knowing may announce a lower version.
  void OnNewestVersion(config_version newest);

  /// @returns the version in force, 0 if there is none
  config_version Version() const { return version_; }
  /// @returns the whole document in force, for peers; empty if there is none
  const std::string& Document() const { return document_; }
  /// @returns SHA-256 of the document in force; empty if there is none
  const std::string& Digest() const { return digest_; }
  /// @returns the settings in force here, or null. The pointer keeps them alive
  ///   when another version comes into force.
  std::shared_ptr<const data_centre_config> Site() const { return site_; }
  /// @returns true if the control leader has given or announced this version
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
