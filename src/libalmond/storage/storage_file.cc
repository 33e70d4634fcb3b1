#include "libalmond/storage/storage_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <boost/crc.hpp>
#include <boost/leaf.hpp>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace almond {
namespace {

namespace leaf = boost::leaf;

constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadBytes = std::size_t{1} << 16U;

}  // namespace

leaf::result<storage_file> storage_file::Open(const std::string& path,
                                              int flags) {
  const int descriptor = open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  storage_file file(path, descriptor);
  if (descriptor < 0) return file.Error("open", 0);
  return file;
}

storage_file::~storage_file() {
  if (descriptor_ >= 0) close(descriptor_);
}

storage_file::storage_file(storage_file&& other) noexcept
    : path_(std::move(other.path_)),
      descriptor_(std::exchange(other.descriptor_, -1)) {}

storage_file& storage_file::operator=(storage_file&& other) noexcept {
  path_.swap(other.path_);
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

leaf::error_id storage_file::Error(const std::string& action,
                                   std::uint64_t offset) const {
  const int cause = errno;
  const std::string reason = std::generic_category().message(cause);
  return leaf::new_error(storage_error{path_, offset,
                                       "cannot " + action + ": " + reason,
                                       IsNoSpace(cause), IsTemporary(cause)});
}

leaf::result<std::string> storage_file::ReadAll() const {
  std::string content;
  std::array<char, kReadBytes> buffer{};
  for (;;) {
    const ssize_t count = pread(descriptor_, buffer.data(), buffer.size(),
                                static_cast<off_t>(content.size()));
    if (count == 0) return content;
    if (count > 0) {
      content.append(buffer.data(), static_cast<std::size_t>(count));
    } else if (errno != EINTR) {
      return Error("read", content.size());
    }
  }
}

leaf::result<void> storage_file::Write(std::uint64_t offset,
                                       std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = pwrite(descriptor_, bytes.data(), bytes.size(),
                                 static_cast<off_t>(offset));
    if (count < 0) {
      if (errno == EINTR) continue;
      return Error("write", offset);
    }
    offset += static_cast<std::uint64_t>(count);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return {};
}

leaf::result<void> storage_file::Sync() {
  if (fdatasync(descriptor_) != 0) return Error("sync", 0);
  return {};
}

leaf::result<void> storage_file::SyncWithMetadata() {
  if (fsync(descriptor_) != 0) return Error("sync", 0);
  return {};
}

leaf::result<void> storage_file::Truncate(std::uint64_t size) {
  if (ftruncate(descriptor_, static_cast<off_t>(size)) != 0) {
    return Error("truncate", size);
  }
  return {};
}

bool storage_file::TryLock() {
  return flock(descriptor_, LOCK_EX | LOCK_NB) == 0;
}

leaf::result<void> SyncFolder(const std::string& folder) {
  BOOST_LEAF_AUTO(handle, storage_file::Open(folder, O_RDONLY | O_DIRECTORY));
  return handle.SyncWithMetadata();
}

leaf::result<void> ReplaceFile(const std::string& path,
                               std::string_view content) {
  const std::string temporary = path + ".tmp";
  BOOST_LEAF_AUTO(file,
                  storage_file::Open(temporary, O_WRONLY | O_CREAT | O_TRUNC));
  BOOST_LEAF_CHECK(file.Write(0, content));
  BOOST_LEAF_CHECK(file.Sync());
  std::error_code failure;
  std::filesystem::rename(temporary, path, failure);
  if (failure) {
    return leaf::new_error(storage_error{
        path, 0, "cannot rename: " + failure.message(),
        IsNoSpace(failure.value()), IsTemporary(failure.value())});
  }
  return SyncFolder(std::filesystem::path(path).parent_path().string());
}

std::uint32_t Crc32(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace almond
