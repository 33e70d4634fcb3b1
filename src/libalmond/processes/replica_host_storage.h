#ifndef ALMOND_PROCESSES_REPLICA_HOST_STORAGE_H_
#define ALMOND_PROCESSES_REPLICA_HOST_STORAGE_H_

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <vector>

#include "libalmond/replication/persistent_records.h"
#include "libalmond/storage/data_folder.h"
#include "libalmond/storage/log_file.h"

namespace almond {

/// The durable state of one replica in its data folder.
class replica_host_storage {
 public:
  /// Opens the folder, or initialises an empty one: with the first incarnation
  /// of a new cluster if `bootstrap` is set, else with a random one.
  /// @param path data folder
  /// @returns the storage, or storage_error
  static boost::leaf::result<std::unique_ptr<replica_host_storage>> Open(
      const std::string& path, const std::string& cluster,
      const replica_id& self, bool bootstrap);

  /// Moves out the state read from disk; valid once.
  persistent_state TakeState() { return std::move(state_); }
  replica_incarnation Incarnation() const {
    return replica_incarnation(folder_.Identity()->incarnation);
  }
  /// Writes records with one sync of the log file.
  /// @returns success once they are durable, or storage_error. After an error,
  ///   part of them may be on disk already. If NeedsRewrite, Rewrite must be
  ///   called next; else the next call must pass the same records again.
  boost::leaf::result<void> Write(
      const std::vector<persistent_record>& records);
  bool NeedsRewrite() const { return log_.NeedsRewrite(); }
  /// Writes the whole state into new files, which replace the old ones.
  /// @param state covers all records passed to Write
  /// @returns success once it is durable, or storage_error
  boost::leaf::result<void> Rewrite(const persistent_state& state);
  /// @returns the size of the log file in bytes
  std::uint64_t LogBytes() const { return log_.Size(); }

 private:
  replica_host_storage(data_folder folder, log_file log, persistent_state state)
      : folder_(std::move(folder)),
        log_(std::move(log)),
        state_(std::move(state)) {}

  data_folder folder_;
  log_file log_;
  persistent_state state_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_HOST_STORAGE_H_
