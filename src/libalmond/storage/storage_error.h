#ifndef ALMOND_STORAGE_STORAGE_ERROR_H_
#define ALMOND_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

namespace almond {

/// An error of a file of the data folder.
struct storage_error {
  std::string file;
  std::uint64_t offset = 0;  ///< in bytes from the start of the file
  std::string message;
  /// True if the disk is full, or a quota or size limit is reached; the same
  /// write may succeed later.
  bool no_space = false;

  std::string ToString() const {
    return file + " at byte " + std::to_string(offset) + ": " + message;
  }
};

}  // namespace almond

#endif  // ALMOND_STORAGE_STORAGE_ERROR_H_
