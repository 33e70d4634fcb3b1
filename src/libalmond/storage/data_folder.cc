#include "libalmond/storage/data_folder.h"

#include <fcntl.h>

#include <boost/leaf.hpp>
#include <filesystem>
#include <sstream>
#include <utility>

#include "libalmond/storage/checksummed_file.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

leaf::error_id Error(const std::string& file, const std::string& message) {
  return leaf::new_error(storage_error{file, 0, message});
}

}  // namespace

leaf::result<data_folder> data_folder::Open(const std::string& path,
                                            const std::string& cluster,
                                            const std::string& replica) {
  std::error_code failure;
  std::filesystem::create_directories(path, failure);
  if (failure) {
    return leaf::new_error(storage_error{
        path, 0, "cannot create: " + failure.message(),
        IsNoSpace(failure.value()), IsTemporary(failure.value())});
  }
  BOOST_LEAF_AUTO(lock, storage_file::Open(path + "/lock", O_RDWR | O_CREAT));
  if (!lock.TryLock()) {
    return Error(lock.Path(), "another process uses this data folder");
  }
  data_folder folder(path, std::move(lock));
  BOOST_LEAF_CHECK(folder.ReadIdentity());
  if (!folder.identity_) {
    BOOST_LEAF_CHECK(folder.CheckHasNoData());
    return folder;
  }
  const folder_identity& found = *folder.identity_;
  if (found.cluster != cluster) {
    return Error(folder.IdentityPath(), "the folder belongs to the cluster \"" +
                                            found.cluster + "\", not to \"" +
                                            cluster + "\"");
  }
  if (found.replica != replica) {
    return Error(folder.IdentityPath(), "the folder belongs to the replica \"" +
                                            found.replica + "\", not to \"" +
                                            replica + "\"");
  }
  return folder;
}

leaf::result<void> data_folder::CheckHasNoData() const {
  // An interrupted initialisation leaves at most an empty log.
  std::error_code ignored;
  const auto log_size = std::filesystem::file_size(LogPath(), ignored);
  const bool has_log = !ignored && log_size > 0;
  if (has_log || std::filesystem::exists(SnapshotPath())) {
    return Error(IdentityPath(),
                 "missing, but the folder has data; restore the file or empty "
                 "the folder");
  }
  return {};
}

leaf::result<void> data_folder::ReadIdentity() {
  BOOST_LEAF_AUTO(content, checksummed_file::Read(IdentityPath()));
  if (!content) return {};
  std::istringstream in(*content);
  folder_identity identity;
  if (!std::getline(in, identity.cluster) ||
      !std::getline(in, identity.replica) || !(in >> identity.incarnation)) {
    return Error(IdentityPath(), "malformed identity of a data folder");
  }
  identity_ = std::move(identity);
  return {};
}

leaf::result<void> data_folder::Initialise(const folder_identity& identity) {
  std::ostringstream out;
  out << identity.cluster << "\n"
      << identity.replica << "\n"
      << identity.incarnation << "\n";
  BOOST_LEAF_CHECK(checksummed_file::Write(IdentityPath(), out.str()));
  identity_ = identity;
  return {};
}

}  // namespace almond
