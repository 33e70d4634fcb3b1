#ifndef ALMOND_STORAGE_CHECKSUMMED_FILE_H_
#define ALMOND_STORAGE_CHECKSUMMED_FILE_H_

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "libalmond/storage/storage_error.h"

namespace almond {

/// A file that holds one value with a checksum and is replaced as a whole.
class checksummed_file {
 public:
  /// @returns nothing once the content is durable, or storage_error
  static boost::leaf::result<void> Write(const std::string& path,
                                         std::string_view content);
  /// @returns the content, nothing if the file does not exist, or
  ///   storage_error if it is damaged or cannot be read
  static boost::leaf::result<std::optional<std::string>> Read(
      const std::string& path);
};

}  // namespace almond

#endif  // ALMOND_STORAGE_CHECKSUMMED_FILE_H_
