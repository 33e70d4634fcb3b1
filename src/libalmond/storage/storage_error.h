#ifndef ALMOND_STORAGE_STORAGE_ERROR_H_
#define ALMOND_STORAGE_STORAGE_ERROR_H_

#include <cerrno>
#include <cstdint>
#include <string>

namespace almond {

/// @param cause error number of the operating system
/// @returns true if there is no space on the disk
inline bool IsNoSpace(int cause) {
  return cause == ENOSPC || cause == EDQUOT || cause == EFBIG;
}

/// @param cause error number of the operating system
/// @returns true if the same operation may succeed later
inline bool IsTemporary(int cause) {
  return IsNoSpace(cause) || cause == EIO || cause == EROFS ||
         cause == EMFILE || cause == ENFILE || cause == ENOMEM ||
         cause == ESTALE || cause == ETIMEDOUT;
}

/// An error of a file of the data folder.
struct storage_error {
  std::string file;
  std::uint64_t offset = 0;  ///< in bytes from the start of the file
  std::string message;
  /// True if the disk is full, or a quota or size limit is reached.
  bool no_space = false;
  /// True if the same operation may succeed later: no space, an error of the
  /// device, a file system that is mounted read-only, a lack of descriptors or
  /// memory.
  bool temporary = false;

  std::string ToString() const {
    return file + " at byte " + std::to_string(offset) + ": " + message;
  }
};

}  // namespace almond

#endif  // ALMOND_STORAGE_STORAGE_ERROR_H_
