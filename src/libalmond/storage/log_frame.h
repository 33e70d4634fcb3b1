#ifndef ALMOND_STORAGE_LOG_FRAME_H_
#define ALMOND_STORAGE_LOG_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almond {

/// One batch of records in a log file. The header is magic, sequence number,
/// payload length, payload CRC32 and the CRC32 of the header itself; the
/// payload is the records, each with its length in front.
struct log_frame {
  static constexpr std::size_t kHeaderBytes = 24;

  std::uint64_t sequence = 0;
  std::string_view payload;

  /// @returns the bytes of a frame
  static std::string Encode(std::uint64_t sequence,
                            const std::vector<std::string>& records);
  /// @returns the frame at the offset, or nothing if none is whole there
  static std::optional<log_frame> Decode(std::string_view bytes,
                                         std::size_t offset);
  /// @returns the offset of the first valid header from `offset` on with at
  ///   least this sequence number, or nothing
  static std::optional<std::size_t> FindHeader(std::string_view bytes,
                                               std::size_t offset,
                                               std::uint64_t sequence);
  /// Adds the records of the payload.
  /// @returns false if their lengths do not fit
  bool Records(std::vector<std::string>& records) const;
};

}  // namespace almond

#endif  // ALMOND_STORAGE_LOG_FRAME_H_
