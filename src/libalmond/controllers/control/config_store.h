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

/// A change of configuration that an operator asks for; checked before.
struct config_change {
  uuid change_id;           ///< the same in each resend of the change
  config_version expected;  ///< version that the change was based on
  std::string document;     ///< config_document::Serialize
  std::string digest;       ///< config_document::Digest
};

/// A complete configuration under the operator's own version; checked before.
struct versioned_config {
  config_version version;
  std::string document;
  std::string digest;
};

/// How a change ended.
enum class change_outcome : std::uint8_t {
  accepted,            ///< also the answer to a resend of an accepted change
  version_conflict,    ///< another version is the newest
  change_id_conflict,  ///< the id belongs to a change with other content
  not_newer            ///< a numbered configuration that changes nothing
};

/// Answer to a change.
struct change_result {
  change_outcome outcome = change_outcome::version_conflict;
  /// The change's own version if accepted; the version under the change id for
  /// a change id conflict; the newest version otherwise.
  config_version version;
  std::string digest;  ///< of that version

  bool operator==(const change_result&) const = default;
};

/// One accepted change, without its document.
struct config_history_entry {
  config_version version;
  std::string digest;
  uuid change_id;
  wall_time accepted;  ///< by the log's time
};

/// Accepted configurations under rising versions. Deterministic, so that
/// all replicas hold the same.
class config_store {
 public:
  static constexpr std::size_t kDocuments = 32;
  static constexpr std::size_t kHistory = 1000;
  /// A change id is kept while it is among the newest kChangeIds or younger
  /// than kChangeIdAge, but never beyond kMaxChangeIds. A resend whose id is
  /// gone gets a version conflict, so it is never accepted twice.
  static constexpr std::size_t kChangeIds = 10000;
  static constexpr std::chrono::hours kChangeIdAge{24};
  static constexpr std::size_t kMaxChangeIds = 100000;

  /// Compare-and-set on the newest version.
  /// @param now the log's time
  /// @param change a valid document
  change_result Apply(wall_time now, const config_change& change);

  /// The highest version wins: a configuration whose version is not above the
  /// newest changes nothing, whatever its content.
  /// @param now the log's time
  change_result Apply(wall_time now, const versioned_config& config);

  /// @returns the newest version, 0 if none was accepted yet
  config_version Newest() const { return newest_; }
  /// @returns the document, or null if the version is unknown or too old
  const std::string* Document(config_version version) const;
  /// @returns the digest, or an empty text if the version is unknown or too old
  std::string Digest(config_version version) const;
  /// @returns the last kHistory changes, oldest first
  std::vector<config_history_entry> History() const;

  /// Appends the whole state.
  void Save(byte_writer& writer) const;
  /// Replaces the state.
  /// @returns false if the bytes are damaged
  bool Load(byte_reader& reader);

 private:
  std::deque<config_history_entry>::const_iterator Find(
      config_version version) const;
  void Accept(wall_time now, const std::string& document,
              config_history_entry entry);
  void Remember(config_history_entry entry);
  void Forget(wall_time now);

  config_version newest_;
  std::deque<std::string> documents_;         // the last one is the newest
  std::deque<config_history_entry> changes_;  // the last one is the newest
  std::unordered_map<uuid, config_version> change_ids_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_CONFIG_STORE_H_
