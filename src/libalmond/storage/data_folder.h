#ifndef ALMOND_STORAGE_DATA_FOLDER_H_
#define ALMOND_STORAGE_DATA_FOLDER_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "libalmond/storage/storage_file.h"

namespace almond {

/// Identifies the cluster, replica and incarnation that a data folder belongs
/// to.
struct folder_identity {
  std::string cluster;
  std::string replica;
  std::uint64_t incarnation = 0;

  bool operator==(const folder_identity&) const = default;
};

/// The folder that holds all files of a control process. It is locked against
/// other processes while it is open.
class data_folder {
 public:
  /// Creates the folder if it does not exist, locks it and reads its identity.
  /// @returns the folder, or storage_error if another process has locked it, it
  ///   belongs to another cluster or replica, its identity is damaged, or it
  ///   has data but no identity
  static boost::leaf::result<data_folder> Open(const std::string& path,
                                               const std::string& cluster,
                                               const std::string& replica);

  /// @returns the identity, or nothing if the folder is new
  const std::optional<folder_identity>& Identity() const { return identity_; }
  /// Completes the initialisation of a new folder by writing its identity. To
  /// be called last, so that a folder with an identity has all its files.
  /// @param identity with cluster and replica free of control characters
  boost::leaf::result<void> Initialise(const folder_identity& identity);

  std::string LogPath() const { return path_ + "/log"; }
  std::string SnapshotPath() const { return path_ + "/snapshot"; }

 private:
  data_folder(std::string path, storage_file lock)
      : path_(std::move(path)), lock_(std::move(lock)) {}
  std::string IdentityPath() const { return path_ + "/identity"; }
  boost::leaf::result<void> ReadIdentity();
  boost::leaf::result<void> CheckHasNoData() const;

  std::string path_;
  storage_file lock_;
  std::optional<folder_identity> identity_;
};

}  // namespace almond

#endif  // ALMOND_STORAGE_DATA_FOLDER_H_
