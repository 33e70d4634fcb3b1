#include "libalmond/wire/replication_codec.h"

#include <utility>

#include "libalmond/wire/replication_values.h"
#include "libalmond/wire/thrift_buffer.h"
#include "libalmond/wire/wire_values.h"

namespace almond {
namespace {

using wire::NumberToWire;
using wire::ReadNumber;

enum class frame_type : std::uint8_t {
  vote_request = 64,
  vote_reply = 65,
  append_request = 66,
  append_reply = 67,
  snapshot_chunk = 68,
  snapshot_reply = 69,
};

template <typename Message>
frame MakeFrame(frame_type type, Message message,
                const wire::ReplicaHeader& header) {
  message.header = header;
  return {static_cast<std::uint8_t>(type), wire::ToBytes(message)};
}

frame EncodeBody(const vote_request& body, const wire::ReplicaHeader& header) {
  wire::ReplicaVoteRequest result;
  result.pre_vote = body.pre_vote;
  result.last_index = NumberToWire(body.last_index);
  result.last_term = NumberToWire(body.last_term);
  result.voter = wire::ToWire(body.voter);
  return MakeFrame(frame_type::vote_request, std::move(result), header);
}

bool DecodeBody(wire::ReplicaVoteRequest& encoded, vote_request& body) {
  body.pre_vote = encoded.pre_vote;
  body.voter = wire::NumberFromWire<replica_incarnation>(encoded.voter);
  return ReadNumber(encoded.last_index, body.last_index) &&
         ReadNumber(encoded.last_term, body.last_term);
}

frame EncodeBody(const vote_reply& body, const wire::ReplicaHeader& header) {
  wire::ReplicaVoteReply result;
  result.pre_vote = body.pre_vote;
  result.granted = body.granted;
  return MakeFrame(frame_type::vote_reply, std::move(result), header);
}

bool DecodeBody(wire::ReplicaVoteReply& encoded, vote_reply& body) {
  body = {encoded.pre_vote, encoded.granted};
  return true;
}

frame EncodeBody(const append_request& body,
                 const wire::ReplicaHeader& header) {
  wire::ReplicaAppendRequest result;
  result.round = NumberToWire(body.round);
  result.previous_index = NumberToWire(body.previous_index);
  result.previous_term = NumberToWire(body.previous_term);
  result.commit_index = NumberToWire(body.commit_index);
  result.entries.reserve(body.entries.size());
  for (const log_entry& entry : body.entries) {
    result.entries.push_back(wire::Encode(entry));
  }
  return MakeFrame(frame_type::append_request, std::move(result), header);
}

bool DecodeBody(wire::ReplicaAppendRequest& encoded, append_request& body) {
  body.entries.resize(encoded.entries.size());
  for (std::size_t i = 0; i < body.entries.size(); ++i) {
    if (!wire::Decode(encoded.entries[i], body.entries[i])) return false;
  }
  return ReadNumber(encoded.round, body.round) &&
         ReadNumber(encoded.previous_index, body.previous_index) &&
         ReadNumber(encoded.previous_term, body.previous_term) &&
         ReadNumber(encoded.commit_index, body.commit_index);
}

frame EncodeBody(const append_reply& body, const wire::ReplicaHeader& header) {
  wire::ReplicaAppendReply result;
  result.round = NumberToWire(body.round);
  result.success = body.success;
  result.index = NumberToWire(body.index);
  return MakeFrame(frame_type::append_reply, std::move(result), header);
}

bool DecodeBody(wire::ReplicaAppendReply& encoded, append_reply& body) {
  body.success = encoded.success;
  return ReadNumber(encoded.round, body.round) &&
         ReadNumber(encoded.index, body.index);
}

frame EncodeBody(const snapshot_chunk& body,
                 const wire::ReplicaHeader& header) {
  wire::ReplicaSnapshotChunk result;
  result.round = NumberToWire(body.round);
  result.last_index = NumberToWire(body.last_index);
  result.last_term = NumberToWire(body.last_term);
  result.members = wire::Encode(body.members);
  result.total = NumberToWire(body.total);
  result.offset = NumberToWire(body.offset);
  result.data = body.data;
  return MakeFrame(frame_type::snapshot_chunk, std::move(result), header);
}

bool DecodeBody(wire::ReplicaSnapshotChunk& encoded, snapshot_chunk& body) {
  body.data = std::move(encoded.data);
  return ReadNumber(encoded.round, body.round) &&
         ReadNumber(encoded.last_index, body.last_index) &&
         ReadNumber(encoded.last_term, body.last_term) &&
         ReadNumber(encoded.total, body.total) &&
         ReadNumber(encoded.offset, body.offset) &&
         wire::Decode(encoded.members, body.members);
}

frame EncodeBody(const snapshot_reply& body,
                 const wire::ReplicaHeader& header) {
  wire::ReplicaSnapshotReply result;
  result.round = NumberToWire(body.round);
  result.last_index = NumberToWire(body.last_index);
  result.next_offset = NumberToWire(body.next_offset);
  return MakeFrame(frame_type::snapshot_reply, std::move(result), header);
}

bool DecodeBody(wire::ReplicaSnapshotReply& encoded, snapshot_reply& body) {
  return ReadNumber(encoded.round, body.round) &&
         ReadNumber(encoded.last_index, body.last_index) &&
         ReadNumber(encoded.next_offset, body.next_offset);
}

template <typename Encoded, typename Body>
std::optional<replica_message> DecodeAs(const frame& encoded,
                                        const std::string& cluster) {
  Encoded structure;
  if (!wire::FromBytes(encoded.payload, structure)) return std::nullopt;
  const wire::ReplicaHeader& header = structure.header;
  Body body;
  replica_message message;
  if (header.cluster != cluster || !ReadNumber(header.term, message.term) ||
      !DecodeBody(structure, body)) {
    return std::nullopt;
  }
  message.from = replica_id{header.sender};
  message.from_incarnation =
      wire::NumberFromWire<replica_incarnation>(header.incarnation);
  message.to = replica_id{header.receiver};
  message.body = std::move(body);
  return message;
}

}  // namespace

frame EncodeReplicaMessage(const replica_message& message,
                           const std::string& cluster) {
  wire::ReplicaHeader header;
  header.cluster = cluster;
  header.sender = message.from.Value();
  header.incarnation = wire::ToWire(message.from_incarnation);
  header.receiver = message.to.Value();
  header.term = NumberToWire(message.term);
  return std::visit(
      [&header](const auto& body) { return EncodeBody(body, header); },
      message.body);
}

std::optional<replica_message> DecodeReplicaMessage(
    const frame& encoded, const std::string& cluster) {
  switch (static_cast<frame_type>(encoded.type)) {
    case frame_type::vote_request:
      return DecodeAs<wire::ReplicaVoteRequest, vote_request>(encoded, cluster);
    case frame_type::vote_reply:
      return DecodeAs<wire::ReplicaVoteReply, vote_reply>(encoded, cluster);
    case frame_type::append_request:
      return DecodeAs<wire::ReplicaAppendRequest, append_request>(encoded,
                                                                  cluster);
    case frame_type::append_reply:
      return DecodeAs<wire::ReplicaAppendReply, append_reply>(encoded, cluster);
    case frame_type::snapshot_chunk:
      return DecodeAs<wire::ReplicaSnapshotChunk, snapshot_chunk>(encoded,
                                                                  cluster);
    case frame_type::snapshot_reply:
      return DecodeAs<wire::ReplicaSnapshotReply, snapshot_reply>(encoded,
                                                                  cluster);
  }
  return std::nullopt;
}

}  // namespace almond
