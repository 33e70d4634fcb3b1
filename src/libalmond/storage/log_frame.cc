#include "libalmond/storage/log_frame.h"

#include <cstring>

#include "libalmond/storage/storage_file.h"

namespace almond {
namespace {

constexpr std::uint32_t kMagic = 0x474C4D41;
constexpr std::size_t kMagicBytes = 4;

struct frame_header {
  std::uint64_t sequence = 0;
  std::uint32_t length = 0;
  std::uint32_t payload_crc = 0;
};

// Numbers are stored in host byte order, which is little-endian on all
// supported machines.
template <typename Number>
void Append(std::string& bytes, Number value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

template <typename Number>
Number Read(std::string_view bytes, std::size_t& offset) {
  Number value = 0;
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  offset += sizeof(value);
  return value;
}

std::optional<frame_header> DecodeHeader(std::string_view bytes,
                                         std::size_t offset) {
  if (bytes.size() < offset + log_frame::kHeaderBytes) return std::nullopt;
  const std::string_view checked =
      bytes.substr(offset, log_frame::kHeaderBytes - sizeof(std::uint32_t));
  if (Read<std::uint32_t>(bytes, offset) != kMagic) return std::nullopt;
  frame_header header;
  header.sequence = Read<std::uint64_t>(bytes, offset);
  header.length = Read<std::uint32_t>(bytes, offset);
  header.payload_crc = Read<std::uint32_t>(bytes, offset);
  if (Read<std::uint32_t>(bytes, offset) != Crc32(checked)) return std::nullopt;
  return header;
}

}  // namespace

std::string log_frame::Encode(std::uint64_t sequence,
                              const std::vector<std::string>& records) {
  std::size_t size = kHeaderBytes;
  for (const std::string& record : records) {
    size += sizeof(std::uint32_t) + record.size();
  }
  // One buffer, since the records of a whole log are large.
  std::string bytes;
  bytes.reserve(size);
  bytes.resize(kHeaderBytes);
  for (const std::string& record : records) {
    Append(bytes, static_cast<std::uint32_t>(record.size()));
    bytes += record;
  }
  const std::string_view all = bytes;
  const std::string_view payload = all.substr(kHeaderBytes);
  std::string header;
  Append(header, kMagic);
  Append(header, sequence);
  Append(header, static_cast<std::uint32_t>(payload.size()));
  Append(header, Crc32(payload));
  Append(header, Crc32(header));
  bytes.replace(0, kHeaderBytes, header);
  return bytes;
}

std::optional<log_frame> log_frame::Decode(std::string_view bytes,
                                           std::size_t offset) {
  const auto header = DecodeHeader(bytes, offset);
  if (!header) return std::nullopt;
  const std::size_t start = offset + kHeaderBytes;
  if (bytes.size() - start < header->length) return std::nullopt;
  const std::string_view payload = bytes.substr(start, header->length);
  if (Crc32(payload) != header->payload_crc) return std::nullopt;
  return log_frame{header->sequence, payload};
}

std::optional<log_frame::found_header> log_frame::FindHeader(
    std::string_view bytes, std::size_t offset, std::uint64_t sequence) {
  const std::string_view magic(reinterpret_cast<const char*>(&kMagic),
                               kMagicBytes);
  for (offset = bytes.find(magic, offset); offset != std::string_view::npos;
       offset = bytes.find(magic, offset + 1)) {
    const auto header = DecodeHeader(bytes, offset);
    if (header && header->sequence >= sequence) {
      return found_header{offset, header->sequence, header->length == 0};
    }
  }
  return std::nullopt;
}

bool log_frame::AppendRecordsTo(std::vector<std::string>& records) const {
  std::size_t offset = 0;
  while (offset < payload.size()) {
    if (payload.size() - offset < sizeof(std::uint32_t)) return false;
    const auto length = Read<std::uint32_t>(payload, offset);
    if (payload.size() - offset < length) return false;
    records.emplace_back(payload.substr(offset, length));
    offset += length;
  }
  return true;
}

}  // namespace almond
