#ifndef ALMOND_CONTROLLERS_CONTROL_CONFIG_STORE_H_
#define ALMOND_CONTROLLERS_CONTROL_CONFIG_STORE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "libalmond/controllers/control/byte_buffer.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"
#include "libalmond/core/uuid.h"

namespace almond {

/// A configuration change requested by an operator. The document has been
/// validated already.
struct config_change {
  uuid change_id;           ///< identical in every resend of the change
  config_version expected;  ///< version that the change is based on
  std::string document;     ///< config_document::Serialize
  std::string digest;       ///< config_document::Digest
};

/// A complete configuration whose version the operator assigned. The document
/// has been validated already.
struct versioned_config {
  config_version version;
  std::string document;
  std::string digest;
};

/// Outcome of a configuration change.
enum class change_outcome : std::uint8_t {
  accepted,            ///< also returned for a resend of an accepted change
  version_conflict,    ///< the expected version is not the newest one
  change_id_conflict,  ///< the id was used by a change with other content
  not_newer            ///< the assigned version is not above the newest one
};

/// Result of a configuration change.
struct change_result {
  change_outcome outcome = change_outcome::version_conflict;
  /// The version of the change if it was accepted; on a change id conflict the
  /// version that was accepted under that id; otherwise the newest version.
  config_version version;
  std::string digest;  ///< of that version

  bool operator==(const change_result&) const = default;
};

/// An accepted change, without its document.
struct config_history_entry {
  config_version version;
  std::string digest;
  uuid change_id;
  wall_time accepted;  ///< log time, see control_command::now
};

/// Stores accepted configurations under increasing versions. Deterministic: the
/// same calls give the same state at every replica.
class config_store {
 public:
  static constexpr std::size_t kMaxDocuments = 32;
  static constexpr std::size_t kMaxHistoryEntries = 1000;
  /// A change id is kept while it is among the newest kMinChangeIds or younger
  /// than kChangeIdRetention, up to kMaxChangeIds in all. A resend whose id was
  /// dropped gets a version conflict, so a change is never accepted twice.
  static constexpr std::size_t kMinChangeIds = 10000;
  static constexpr std::chrono::hours kChangeIdRetention{24};
  static constexpr std::size_t kMaxChangeIds = 100000;

  /// Compare-and-set on the newest version.
  /// @param now log time
  /// @param change with a valid document
  change_result Apply(wall_time now, const config_change& change);

  /// Accepts the configuration if its version is above the newest one;
  /// otherwise changes nothing, whatever the content.
  /// @param now log time
  change_result Apply(wall_time now, const versioned_config& config);

  /// @returns the newest version, or 0 if none has been accepted
  config_version Newest() const { return newest_; }
  /// @returns the document, or null if the version is unknown or no longer
  ///   among the newest kMaxDocuments
  const std::string* Document(config_version version) const;
  /// @returns the digest, or an empty string if the version is unknown or its
  ///   history entry was dropped
  std::string Digest(config_version version) const;
  /// @returns the newest kMaxHistoryEntries changes, oldest first
  std::vector<config_history_entry> History() const;

  /// Serializes the complete state.
  void Save(byte_writer& writer) const;
  /// Replaces the state.
  /// @returns false if the bytes are malformed
  bool Load(byte_reader& reader);

 private:
  std::deque<config_history_entry>::const_iterator Find(
      config_version version) const;
  void Accept(wall_time now, const std::string& document,
              config_history_entry entry);
  void AppendHistory(config_history_entry entry);
  void TrimHistory(wall_time now);

  config_version newest_;
  std::deque<std::string> documents_;         // oldest first
  std::deque<config_history_entry> changes_;  // oldest first
  std::unordered_map<uuid, config_version> change_ids_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONFIG_STORE_H_
