#ifndef ALMOND_STORAGE_LOG_FRAME_H_
#define ALMOND_STORAGE_LOG_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almond {

/// One batch of records in a log file. The header consists of a magic number,
/// the sequence number, the payload length, the CRC32 of the payload and the
/// CRC32 of the header itself. The payload holds the records, each prefixed
/// with its length.
struct log_frame {
  static constexpr std::size_t kHeaderBytes = 24;

  std::uint64_t sequence = 0;
  std::string_view payload;

  /// @returns the encoded frame
  static std::string Encode(std::uint64_t sequence,
                            const std::vector<std::string>& records);
  /// @returns the frame at the offset, or nothing if it is incomplete or
  ///   damaged
  static std::optional<log_frame> Decode(std::string_view bytes,
                                         std::size_t offset);
  /// A valid header; the payload behind it may be damaged.
  struct found_header {
    std::size_t offset = 0;
    std::uint64_t sequence = 0;
    bool is_marker = false;  ///< the frame has no records
  };
  /// @returns the first valid header at or after `offset` whose sequence number
  ///   is at least `sequence`, or nothing
  static std::optional<found_header> FindHeader(std::string_view bytes,
                                                std::size_t offset,
                                                std::uint64_t sequence);
  /// Appends the records of the payload to `records`.
  /// @returns false if their lengths do not match the payload
  bool AppendRecordsTo(std::vector<std::string>& records) const;
};

}  // namespace almond

#endif  // ALMOND_STORAGE_LOG_FRAME_H_
