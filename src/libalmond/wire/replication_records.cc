#include "libalmond/wire/replication_records.h"

#include <cstring>
#include <utility>

#include "libalmond/wire/replication_values.h"
#include "libalmond/wire/thrift_buffer.h"
#include "libalmond/wire/wire_values.h"

namespace almond {
namespace {

using wire::NumberToWire;
using wire::ReadNumber;

// First byte of a record.
constexpr char kVote = 'v';
constexpr char kEntry = 'e';
constexpr char kBase = 'b';

std::string EncodeBody(const vote_record& record) {
  wire::LogVoteRecord result;
  result.term = NumberToWire(record.term);
  result.voted_for =
      wire::MakePlace(record.voted_for, record.voted_incarnation);
  return kVote + wire::ToBytes(result);
}

std::string EncodeBody(const log_entry_record& record) {
  wire::LogEntryRecord result;
  result.index = NumberToWire(record.index);
  result.entry = wire::Encode(record.entry);
  return kEntry + wire::ToBytes(result);
}

std::string EncodeBody(const log_base_record& record) {
  wire::LogBaseRecord result;
  result.index = NumberToWire(record.index);
  result.term = NumberToWire(record.term);
  return kBase + wire::ToBytes(result);
}

bool DecodeBody(const std::string& bytes, vote_record& record) {
  wire::LogVoteRecord encoded;
  if (!wire::FromBytes(bytes, encoded)) return false;
  record.voted_for = replica_id(std::move(encoded.voted_for.replica));
  record.voted_incarnation =
      wire::NumberFromWire<replica_incarnation>(encoded.voted_for.incarnation);
  return ReadNumber(encoded.term, record.term);
}

bool DecodeBody(const std::string& bytes, log_entry_record& record) {
  wire::LogEntryRecord encoded;
  return wire::FromBytes(bytes, encoded) &&
         ReadNumber(encoded.index, record.index) &&
         wire::Decode(encoded.entry, record.entry);
}

bool DecodeBody(const std::string& bytes, log_base_record& record) {
  wire::LogBaseRecord encoded;
  return wire::FromBytes(bytes, encoded) &&
         ReadNumber(encoded.index, record.index) &&
         ReadNumber(encoded.term, record.term);
}

template <typename Record>
std::optional<log_record> DecodeAs(const std::string& bytes) {
  Record record;
  if (!DecodeBody(bytes, record)) return std::nullopt;
  return record;
}

}  // namespace

std::string EncodeLogRecord(const log_record& record) {
  return std::visit([](const auto& body) { return EncodeBody(body); }, record);
}

std::optional<log_record> DecodeLogRecord(const std::string& bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::string body = bytes.substr(1);
  switch (bytes.front()) {
    case kVote:
      return DecodeAs<vote_record>(body);
    case kEntry:
      return DecodeAs<log_entry_record>(body);
    case kBase:
      return DecodeAs<log_base_record>(body);
    default:
      return std::nullopt;
  }
}

std::string EncodeSnapshot(const replica_snapshot& snapshot) {
  wire::SnapshotHeader header;
  header.index = NumberToWire(snapshot.index);
  header.term = NumberToWire(snapshot.term);
  header.members = wire::Encode(snapshot.members);
  const std::string bytes = wire::ToBytes(header);
  // The data is not part of the Thrift message, whose size is limited.
  const auto length = static_cast<std::uint32_t>(bytes.size());
  std::string result(reinterpret_cast<const char*>(&length), sizeof(length));
  return result + bytes + snapshot.data;
}

std::optional<replica_snapshot> DecodeSnapshot(const std::string& content) {
  std::uint32_t length = 0;
  if (content.size() < sizeof(length)) return std::nullopt;
  std::memcpy(&length, content.data(), sizeof(length));
  if (content.size() - sizeof(length) < length) return std::nullopt;
  wire::SnapshotHeader header;
  replica_snapshot snapshot;
  if (!wire::FromBytes(content.substr(sizeof(length), length), header) ||
      !ReadNumber(header.index, snapshot.index) ||
      !ReadNumber(header.term, snapshot.term) ||
      !wire::Decode(header.members, snapshot.members)) {
    return std::nullopt;
  }
  snapshot.data = content.substr(sizeof(length) + length);
  return snapshot;
}

}  // namespace almond
