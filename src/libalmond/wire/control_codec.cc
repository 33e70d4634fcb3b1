#include "libalmond/wire/control_codec.h"

#include <string>
#include <utility>

#include "control_types.h"
#include "libalmond/wire/thrift_buffer.h"
#include "libalmond/wire/wire_values.h"

namespace almond {
namespace {

using wire::CountFromWire;
using wire::EnumFromWire;
using wire::EnumToWire;
using wire::NumberFromWire;
using wire::ToWire;
using wire::UuidFromWire;
using wire::WallFromWire;
using wire::WallToWire;

// Frame types. Both directions share one number space, so that a frame sent in
// the wrong direction has an unknown type and is not decoded as another
// message. The types are also distinct from those of the dispatch messages.
enum class frame_type : std::uint8_t {
  heartbeat = 64,
  fetch_config = 65,
  ledger_claim = 66,
  ledger_finish = 67,
  ledger_read = 68,
  heartbeat_reply = 80,
  fetch_config_reply = 81,
  ledger_claim_reply = 82,
  ledger_finish_reply = 83,
  ledger_read_reply = 84,
  not_leader = 85,
};

template <typename Message>
frame MakeFrame(frame_type type, std::uint64_t number, Message& message) {
  message.request = static_cast<std::int64_t>(number);
  return {static_cast<std::uint8_t>(type), wire::ToBytes(message)};
}

wire::Refusal Encode(const refusal& value) {
  wire::Refusal result;
  result.reason = EnumToWire(value.reason);
  result.outcome = EnumToWire(value.outcome);
  result.detail = value.detail;
  return result;
}

bool Decode(wire::Refusal& encoded, refusal& value) {
  value.detail = std::move(encoded.detail);
  return EnumFromWire(encoded.reason, refusal_reason::answer_lost,
                      value.reason) &&
         EnumFromWire(encoded.outcome, run_outcome::unknown, value.outcome);
}

wire::LedgerRecord Encode(const ledger_record& record) {
  wire::LedgerRecord result;
  result.submission = record.submission.Bytes();
  result.digest = record.digest;
  result.service_name = record.service.Value();
  result.task_count = static_cast<std::int32_t>(record.task_count);
  result.owner = record.owner.Value();
  result.owner_incarnation = ToWire(record.owner_incarnation);
  result.epoch = ToWire(record.epoch);
  result.state = EnumToWire(record.state);
  result.failure = Encode(record.failure);
  result.accepted_ms = WallToWire(record.accepted);
  result.deadline_ms = WallToWire(record.deadline);
  return result;
}

bool Decode(wire::LedgerRecord& encoded, ledger_record& record) {
  record.digest = std::move(encoded.digest);
  record.service = service_id(std::move(encoded.service_name));
  record.task_count = CountFromWire(encoded.task_count);
  record.owner = entry_id(std::move(encoded.owner));
  record.owner_incarnation =
      NumberFromWire<incarnation_id>(encoded.owner_incarnation);
  record.epoch = NumberFromWire<owner_epoch>(encoded.epoch);
  record.accepted = WallFromWire(encoded.accepted_ms);
  record.deadline = WallFromWire(encoded.deadline_ms);
  return UuidFromWire(encoded.submission, record.submission) &&
         EnumFromWire(encoded.state, ledger_state::failed, record.state) &&
         Decode(encoded.failure, record.failure);
}

frame EncodeBody(std::uint64_t number, const heartbeat_message& message) {
  wire::Heartbeat result;
  result.role = EnumToWire(message.role);
  result.id = message.id;
  result.incarnation = ToWire(message.incarnation);
  result.data_centre = message.data_centre.Value();
  result.peer_address = message.peer_address;
  result.http_address = message.http_address;
  result.version = ToWire(message.version);
  result.leaving = message.leaving;
  result.entries_digest = static_cast<std::int64_t>(message.entries_digest);
  result.endpoint_kind = message.endpoint_kind;
  return MakeFrame(frame_type::heartbeat, number, result);
}

bool DecodeBody(wire::Heartbeat& encoded, heartbeat_message& message) {
  message.id = std::move(encoded.id);
  message.incarnation = NumberFromWire<incarnation_id>(encoded.incarnation);
  message.data_centre = data_centre_id(std::move(encoded.data_centre));
  message.peer_address = std::move(encoded.peer_address);
  message.http_address = std::move(encoded.http_address);
  message.version = NumberFromWire<config_version>(encoded.version);
  message.leaving = encoded.leaving;
  message.entries_digest = static_cast<std::uint64_t>(encoded.entries_digest);
  message.endpoint_kind = std::move(encoded.endpoint_kind);
  return EnumFromWire(encoded.role, process_role::agent, message.role);
}

frame EncodeBody(std::uint64_t number, const fetch_config_message& /*body*/) {
  wire::FetchConfig result;
  return MakeFrame(frame_type::fetch_config, number, result);
}

bool DecodeBody(wire::FetchConfig& /*encoded*/,
                fetch_config_message& /*message*/) {
  return true;
}

frame EncodeBody(std::uint64_t number, const ledger_claim_message& message) {
  wire::LedgerClaim result;
  result.submission = message.submission.Bytes();
  result.digest = message.digest;
  result.service_name = message.service.Value();
  result.task_count = static_cast<std::int32_t>(message.task_count);
  result.owner = message.owner.Value();
  result.owner_incarnation = ToWire(message.owner_incarnation);
  result.deadline_ms = WallToWire(message.deadline);
  return MakeFrame(frame_type::ledger_claim, number, result);
}

bool DecodeBody(wire::LedgerClaim& encoded, ledger_claim_message& message) {
  message.digest = std::move(encoded.digest);
  message.service = service_id(std::move(encoded.service_name));
  message.task_count = CountFromWire(encoded.task_count);
  message.owner = entry_id(std::move(encoded.owner));
  message.owner_incarnation =
      NumberFromWire<incarnation_id>(encoded.owner_incarnation);
  message.deadline = WallFromWire(encoded.deadline_ms);
  return UuidFromWire(encoded.submission, message.submission);
}

frame EncodeBody(std::uint64_t number, const ledger_finish_message& message) {
  wire::LedgerFinish result;
  result.submission = message.submission.Bytes();
  result.epoch = ToWire(message.epoch);
  result.state = EnumToWire(message.state);
  result.failure = Encode(message.failure);
  return MakeFrame(frame_type::ledger_finish, number, result);
}

bool DecodeBody(wire::LedgerFinish& encoded, ledger_finish_message& message) {
  message.epoch = NumberFromWire<owner_epoch>(encoded.epoch);
  return UuidFromWire(encoded.submission, message.submission) &&
         EnumFromWire(encoded.state, ledger_state::failed, message.state) &&
         Decode(encoded.failure, message.failure);
}

frame EncodeBody(std::uint64_t number, const ledger_read_message& message) {
  wire::LedgerRead result;
  result.submission = message.submission.Bytes();
  return MakeFrame(frame_type::ledger_read, number, result);
}

bool DecodeBody(wire::LedgerRead& encoded, ledger_read_message& message) {
  return UuidFromWire(encoded.submission, message.submission);
}

frame EncodeBody(std::uint64_t number, const heartbeat_reply_message& message) {
  wire::HeartbeatReply result;
  result.newest = ToWire(message.newest);
  for (const entry_address& entry : message.entries) {
    wire::EntryAddress& encoded = result.entries.emplace_back();
    encoded.entry = entry.entry.Value();
    encoded.incarnation = ToWire(entry.incarnation);
    encoded.data_centre = entry.data_centre.Value();
    encoded.peer_address = entry.peer_address;
  }
  for (const ledger_record& record : message.takeovers) {
    result.takeovers.push_back(Encode(record));
  }
  result.entries_digest = static_cast<std::int64_t>(message.entries_digest);
  result.entries_omitted = message.entries_omitted;
  result.alike_agents = static_cast<std::int32_t>(message.alike_agents);
  result.evacuation_revision = ToWire(message.evacuations.revision);
  for (const data_centre_id& name : message.evacuations.data_centres) {
    result.evacuated_data_centres.push_back(name.Value());
  }
  return MakeFrame(frame_type::heartbeat_reply, number, result);
}

bool DecodeBody(wire::HeartbeatReply& encoded,
                heartbeat_reply_message& message) {
  message.newest = NumberFromWire<config_version>(encoded.newest);
  for (wire::EntryAddress& entry : encoded.entries) {
    message.entries.push_back(
        {entry_id(std::move(entry.entry)),
         NumberFromWire<incarnation_id>(entry.incarnation),
         data_centre_id(std::move(entry.data_centre)),
         std::move(entry.peer_address)});
  }
  for (wire::LedgerRecord& record : encoded.takeovers) {
    if (!Decode(record, message.takeovers.emplace_back())) return false;
  }
  message.entries_digest = static_cast<std::uint64_t>(encoded.entries_digest);
  message.entries_omitted = encoded.entries_omitted;
  message.alike_agents = CountFromWire(encoded.alike_agents);
  message.evacuations.revision =
      NumberFromWire<evacuation_revision>(encoded.evacuation_revision);
  for (std::string& name : encoded.evacuated_data_centres) {
    message.evacuations.data_centres.emplace_back(std::move(name));
  }
  return message.evacuations.IsOrdered();
}

frame EncodeBody(std::uint64_t number,
                 const fetch_config_reply_message& message) {
  wire::FetchConfigReply result;
  result.version = ToWire(message.version);
  result.document = message.document;
  return MakeFrame(frame_type::fetch_config_reply, number, result);
}

bool DecodeBody(wire::FetchConfigReply& encoded,
                fetch_config_reply_message& message) {
  message.version = NumberFromWire<config_version>(encoded.version);
  message.document = std::move(encoded.document);
  return true;
}

frame EncodeBody(std::uint64_t number,
                 const ledger_claim_reply_message& message) {
  wire::LedgerClaimReply result;
  result.outcome = EnumToWire(message.outcome);
  result.record = Encode(message.record);
  return MakeFrame(frame_type::ledger_claim_reply, number, result);
}

bool DecodeBody(wire::LedgerClaimReply& encoded,
                ledger_claim_reply_message& message) {
  return EnumFromWire(encoded.outcome, claim_outcome::too_new,
                      message.outcome) &&
         Decode(encoded.record, message.record);
}

frame EncodeBody(std::uint64_t number,
                 const ledger_finish_reply_message& message) {
  wire::LedgerFinishReply result;
  result.stored = message.stored;
  return MakeFrame(frame_type::ledger_finish_reply, number, result);
}

bool DecodeBody(wire::LedgerFinishReply& encoded,
                ledger_finish_reply_message& message) {
  message.stored = encoded.stored;
  return true;
}

frame EncodeBody(std::uint64_t number,
                 const ledger_read_reply_message& message) {
  wire::LedgerReadReply result;
  if (message.record) result.__set_record(Encode(*message.record));
  return MakeFrame(frame_type::ledger_read_reply, number, result);
}

bool DecodeBody(wire::LedgerReadReply& encoded,
                ledger_read_reply_message& message) {
  if (!encoded.__isset.record) return true;
  return Decode(encoded.record, message.record.emplace());
}

frame EncodeBody(std::uint64_t number, const not_leader_message& message) {
  wire::NotLeader result;
  result.leader_address = message.leader_address;
  return MakeFrame(frame_type::not_leader, number, result);
}

bool DecodeBody(wire::NotLeader& encoded, not_leader_message& message) {
  message.leader_address = std::move(encoded.leader_address);
  return true;
}

template <typename Numbered, typename Encoded, typename Message>
std::optional<Numbered> DecodeFrame(const frame& encoded) {
  Encoded structure;
  Message message;
  if (!wire::FromBytes(encoded.payload, structure)) return std::nullopt;
  if (!DecodeBody(structure, message)) return std::nullopt;
  return Numbered{static_cast<std::uint64_t>(structure.request),
                  std::move(message)};
}

}  // namespace

frame EncodeControlRequest(std::uint64_t number,
                           const control_request& request) {
  return std::visit(
      [number](const auto& body) { return EncodeBody(number, body); }, request);
}

frame EncodeControlReply(std::uint64_t number, const control_reply& reply) {
  return std::visit(
      [number](const auto& body) { return EncodeBody(number, body); }, reply);
}

std::optional<numbered_control_request> DecodeControlRequest(
    const frame& encoded) {
  using result = numbered_control_request;
  switch (static_cast<frame_type>(encoded.type)) {
    case frame_type::heartbeat:
      return DecodeFrame<result, wire::Heartbeat, heartbeat_message>(encoded);
    case frame_type::fetch_config:
      return DecodeFrame<result, wire::FetchConfig, fetch_config_message>(
          encoded);
    case frame_type::ledger_claim:
      return DecodeFrame<result, wire::LedgerClaim, ledger_claim_message>(
          encoded);
    case frame_type::ledger_finish:
      return DecodeFrame<result, wire::LedgerFinish, ledger_finish_message>(
          encoded);
    case frame_type::ledger_read:
      return DecodeFrame<result, wire::LedgerRead, ledger_read_message>(
          encoded);
    default:
      return std::nullopt;
  }
}

std::optional<numbered_control_reply> DecodeControlReply(const frame& encoded) {
  using result = numbered_control_reply;
  switch (static_cast<frame_type>(encoded.type)) {
    case frame_type::heartbeat_reply:
      return DecodeFrame<result, wire::HeartbeatReply, heartbeat_reply_message>(
          encoded);
    case frame_type::fetch_config_reply:
      return DecodeFrame<result, wire::FetchConfigReply,
                         fetch_config_reply_message>(encoded);
    case frame_type::ledger_claim_reply:
      return DecodeFrame<result, wire::LedgerClaimReply,
                         ledger_claim_reply_message>(encoded);
    case frame_type::ledger_finish_reply:
      return DecodeFrame<result, wire::LedgerFinishReply,
                         ledger_finish_reply_message>(encoded);
    case frame_type::ledger_read_reply:
      return DecodeFrame<result, wire::LedgerReadReply,
                         ledger_read_reply_message>(encoded);
    case frame_type::not_leader:
      return DecodeFrame<result, wire::NotLeader, not_leader_message>(encoded);
    default:
      return std::nullopt;
  }
}

}  // namespace almond
