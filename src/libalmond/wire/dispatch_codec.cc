#include "libalmond/wire/dispatch_codec.h"

#include <utility>

#include "dispatch_types.h"
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

// Frame types. Both directions share one number space, so that a frame sent in
// the wrong direction has an unknown type and is not decoded as another
// message.
enum class frame_type : std::uint8_t {
  announce = 1,
  grant = 2,
  recall = 3,
  answer = 4,
  query_answer = 5,
  entry_hello = 16,
  start = 17,
  return_grants = 18,
  demand = 19,
  query = 20,
  cancel = 21,
  forget = 22,
  config_request = 32,
  config_snapshot = 33,
};

template <typename Message>
frame MakeFrame(frame_type type, const Message& message) {
  return {static_cast<std::uint8_t>(type), wire::ToBytes(message)};
}

wire::TaskName Encode(const task_name& name) {
  wire::TaskName result;
  result.submission = name.submission.Bytes();
  result.index = static_cast<std::int32_t>(name.index);
  return result;
}

bool Decode(const wire::TaskName& encoded, task_name& name) {
  name.index = CountFromWire(encoded.index);
  return encoded.index >= 0 &&
         UuidFromWire(encoded.submission, name.submission);
}

std::vector<wire::TaskName> Encode(const std::vector<task_name>& names) {
  std::vector<wire::TaskName> result;
  result.reserve(names.size());
  for (const task_name& name : names) result.push_back(Encode(name));
  return result;
}

bool Decode(const std::vector<wire::TaskName>& encoded,
            std::vector<task_name>& names) {
  names.resize(encoded.size());
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    if (!Decode(encoded[i], names[i])) return false;
  }
  return true;
}

std::vector<std::int64_t> Encode(const std::vector<grant_id>& grants) {
  std::vector<std::int64_t> result;
  result.reserve(grants.size());
  for (const grant_id grant : grants) result.push_back(ToWire(grant));
  return result;
}

std::vector<grant_id> DecodeGrants(const std::vector<std::int64_t>& encoded) {
  std::vector<grant_id> result;
  result.reserve(encoded.size());
  for (const std::int64_t grant : encoded) {
    result.push_back(NumberFromWire<grant_id>(grant));
  }
  return result;
}

wire::Answer Encode(const answer_message& message) {
  wire::Answer result;
  result.name = Encode(message.name);
  result.outcome = EnumToWire(message.outcome);
  result.status = static_cast<std::int16_t>(message.status);
  result.body = message.body;
  result.run_time_ms = message.run_time.count();
  if (message.next_grant) result.__set_next_grant(ToWire(*message.next_grant));
  return result;
}

bool Decode(wire::Answer& encoded, answer_message& message) {
  message.status = static_cast<std::uint16_t>(encoded.status);
  message.body = std::move(encoded.body);
  message.run_time = milliseconds(encoded.run_time_ms);
  if (encoded.__isset.next_grant) {
    message.next_grant = NumberFromWire<grant_id>(encoded.next_grant);
  }
  return Decode(encoded.name, message.name) &&
         EnumFromWire(encoded.outcome, start_outcome::lost, message.outcome);
}

frame EncodeBody(const announce_message& message) {
  wire::Announce result;
  result.agent = message.agent.Value();
  result.incarnation = ToWire(message.incarnation);
  result.data_centre = message.data_centre.Value();
  result.service_name = message.service.Value();
  result.slots = static_cast<std::int32_t>(message.slots);
  result.cpu_milli = static_cast<std::int32_t>(message.cpu_milli);
  result.memory_mib = static_cast<std::int32_t>(message.memory_mib);
  result.controls.pause = message.controls.pause;
  result.controls.checkpoint = message.controls.checkpoint;
  result.controls.stop = message.controls.stop;
  result.leaving = message.leaving;
  result.version = ToWire(message.version);
  return MakeFrame(frame_type::announce, result);
}

bool DecodeBody(wire::Announce& encoded, announce_message& message) {
  message.agent = agent_id(std::move(encoded.agent));
  message.incarnation = NumberFromWire<incarnation_id>(encoded.incarnation);
  message.data_centre = data_centre_id(std::move(encoded.data_centre));
  message.service = service_id(std::move(encoded.service_name));
  message.slots = CountFromWire(encoded.slots);
  message.cpu_milli = CountFromWire(encoded.cpu_milli);
  message.memory_mib = CountFromWire(encoded.memory_mib);
  message.controls.pause = encoded.controls.pause;
  message.controls.checkpoint = encoded.controls.checkpoint;
  message.controls.stop = encoded.controls.stop;
  message.leaving = encoded.leaving;
  message.version = NumberFromWire<config_version>(encoded.version);
  return true;
}

frame EncodeBody(const grant_message& message) {
  wire::Grant result;
  result.grants = Encode(message.grants);
  result.lease_ms = message.lease.count();
  return MakeFrame(frame_type::grant, result);
}

bool DecodeBody(wire::Grant& encoded, grant_message& message) {
  message.grants = DecodeGrants(encoded.grants);
  message.lease = milliseconds(encoded.lease_ms);
  return true;
}

frame EncodeBody(const recall_message& message) {
  wire::Recall result;
  result.count = static_cast<std::int32_t>(message.count);
  return MakeFrame(frame_type::recall, result);
}

bool DecodeBody(wire::Recall& encoded, recall_message& message) {
  message.count = CountFromWire(encoded.count);
  return true;
}

frame EncodeBody(const answer_message& message) {
  return MakeFrame(frame_type::answer, Encode(message));
}

bool DecodeBody(wire::Answer& encoded, answer_message& message) {
  return Decode(encoded, message);
}

frame EncodeBody(const query_answer_message& message) {
  wire::QueryAnswer result;
  result.query = static_cast<std::int64_t>(message.query);
  result.agent = message.agent.Value();
  result.incarnation = ToWire(message.incarnation);
  for (const task_report& report : message.tasks) {
    wire::TaskReport& encoded = result.tasks.emplace_back();
    encoded.name = Encode(report.name);
    encoded.state = EnumToWire(report.state);
    if (report.state == task_state::ended) {
      encoded.__set_answer(Encode(report.answer));
    }
  }
  return MakeFrame(frame_type::query_answer, result);
}

bool DecodeBody(wire::QueryAnswer& encoded, query_answer_message& message) {
  message.query = static_cast<std::uint64_t>(encoded.query);
  message.agent = agent_id(std::move(encoded.agent));
  message.incarnation = NumberFromWire<incarnation_id>(encoded.incarnation);
  for (wire::TaskReport& task : encoded.tasks) {
    task_report& report = message.tasks.emplace_back();
    if (!Decode(task.name, report.name)) return false;
    if (!EnumFromWire(task.state, task_state::unknown, report.state)) {
      return false;
    }
    if (report.state != task_state::ended) continue;
    if (!Decode(task.answer, report.answer)) return false;
  }
  return true;
}

frame EncodeBody(const entry_hello_message& message) {
  wire::EntryHello result;
  result.entry = message.entry.Value();
  result.incarnation = ToWire(message.incarnation);
  result.version = ToWire(message.version);
  return MakeFrame(frame_type::entry_hello, result);
}

bool DecodeBody(wire::EntryHello& encoded, entry_hello_message& message) {
  message.entry = entry_id(std::move(encoded.entry));
  message.incarnation = NumberFromWire<incarnation_id>(encoded.incarnation);
  message.version = NumberFromWire<config_version>(encoded.version);
  return true;
}

frame EncodeBody(const start_message& message) {
  wire::Start result;
  result.grant = ToWire(message.grant);
  result.name = Encode(message.name);
  result.epoch = ToWire(message.epoch);
  result.kind = message.kind.Value();
  result.body = message.body;
  result.time_left_ms = message.time_left.count();
  result.declared_ms = message.size.run_time.count();
  result.cpu_milli = static_cast<std::int32_t>(message.size.cpu_milli);
  result.memory_mib = static_cast<std::int32_t>(message.size.memory_mib);
  result.named_submission = message.named_submission;
  result.backlog = static_cast<std::int32_t>(message.backlog);
  return MakeFrame(frame_type::start, result);
}

bool DecodeBody(wire::Start& encoded, start_message& message) {
  message.grant = NumberFromWire<grant_id>(encoded.grant);
  message.epoch = NumberFromWire<owner_epoch>(encoded.epoch);
  message.kind = request_kind(std::move(encoded.kind));
  message.body = std::move(encoded.body);
  message.time_left = milliseconds(encoded.time_left_ms);
  message.size.run_time = milliseconds(encoded.declared_ms);
  message.size.cpu_milli = CountFromWire(encoded.cpu_milli);
  message.size.memory_mib = CountFromWire(encoded.memory_mib);
  message.named_submission = encoded.named_submission;
  message.backlog = CountFromWire(encoded.backlog);
  return Decode(encoded.name, message.name);
}

frame EncodeBody(const return_grants_message& message) {
  wire::ReturnGrants result;
  result.grants = Encode(message.grants);
  return MakeFrame(frame_type::return_grants, result);
}

bool DecodeBody(wire::ReturnGrants& encoded, return_grants_message& message) {
  message.grants = DecodeGrants(encoded.grants);
  return true;
}

frame EncodeBody(const demand_message& message) {
  wire::Demand result;
  result.backlog = static_cast<std::int32_t>(message.backlog);
  result.overloaded = message.overloaded;
  return MakeFrame(frame_type::demand, result);
}

bool DecodeBody(wire::Demand& encoded, demand_message& message) {
  message.backlog = CountFromWire(encoded.backlog);
  message.overloaded = encoded.overloaded;
  return true;
}

frame EncodeBody(const query_message& message) {
  wire::Query result;
  result.query = static_cast<std::int64_t>(message.query);
  result.incarnation = ToWire(message.incarnation);
  result.names = Encode(message.names);
  if (message.submission) result.__set_submission(message.submission->Bytes());
  result.task_count = static_cast<std::int32_t>(message.task_count);
  result.fence = message.fence;
  result.epoch = ToWire(message.epoch);
  return MakeFrame(frame_type::query, result);
}

bool DecodeBody(wire::Query& encoded, query_message& message) {
  message.query = static_cast<std::uint64_t>(encoded.query);
  message.incarnation = NumberFromWire<incarnation_id>(encoded.incarnation);
  if (encoded.__isset.submission) {
    message.submission.emplace();
    if (!UuidFromWire(encoded.submission, *message.submission)) return false;
  }
  message.task_count = CountFromWire(encoded.task_count);
  message.fence = encoded.fence;
  message.epoch = NumberFromWire<owner_epoch>(encoded.epoch);
  return Decode(encoded.names, message.names);
}

frame EncodeBody(const cancel_message& message) {
  wire::Cancel result;
  result.names = Encode(message.names);
  return MakeFrame(frame_type::cancel, result);
}

bool DecodeBody(wire::Cancel& encoded, cancel_message& message) {
  return Decode(encoded.names, message.names);
}

frame EncodeBody(const acknowledge_message& message) {
  wire::Forget result;
  result.names = Encode(message.names);
  return MakeFrame(frame_type::forget, result);
}

bool DecodeBody(wire::Forget& encoded, acknowledge_message& message) {
  return Decode(encoded.names, message.names);
}

frame EncodeBody(const config_request_message& /*message*/) {
  return MakeFrame(frame_type::config_request, wire::ConfigRequest());
}

bool DecodeBody(wire::ConfigRequest& /*encoded*/,
                config_request_message& /*message*/) {
  return true;
}

frame EncodeBody(const config_snapshot_message& message) {
  wire::ConfigSnapshot result;
  result.version = ToWire(message.version);
  result.document = message.document;
  return MakeFrame(frame_type::config_snapshot, result);
}

bool DecodeBody(wire::ConfigSnapshot& encoded,
                config_snapshot_message& message) {
  message.version = NumberFromWire<config_version>(encoded.version);
  message.document = std::move(encoded.document);
  return true;
}

template <typename Variant, typename Encoded, typename Message>
std::optional<Variant> DecodeFrame(const frame& encoded) {
  Encoded structure;
  Message message;
  if (!wire::FromBytes(encoded.payload, structure)) return std::nullopt;
  if (!DecodeBody(structure, message)) return std::nullopt;
  return Variant(std::move(message));
}

}  // namespace

frame EncodeAgentMessage(const agent_message& message) {
  return std::visit([](const auto& body) { return EncodeBody(body); }, message);
}

frame EncodeEntryMessage(const entry_message& message) {
  return std::visit([](const auto& body) { return EncodeBody(body); }, message);
}

std::optional<agent_message> DecodeAgentMessage(const frame& encoded) {
  switch (static_cast<frame_type>(encoded.type)) {
    case frame_type::announce:
      return DecodeFrame<agent_message, wire::Announce, announce_message>(
          encoded);
    case frame_type::grant:
      return DecodeFrame<agent_message, wire::Grant, grant_message>(encoded);
    case frame_type::recall:
      return DecodeFrame<agent_message, wire::Recall, recall_message>(encoded);
    case frame_type::answer:
      return DecodeFrame<agent_message, wire::Answer, answer_message>(encoded);
    case frame_type::query_answer:
      return DecodeFrame<agent_message, wire::QueryAnswer,
                         query_answer_message>(encoded);
    case frame_type::config_request:
      return DecodeFrame<agent_message, wire::ConfigRequest,
                         config_request_message>(encoded);
    case frame_type::config_snapshot:
      return DecodeFrame<agent_message, wire::ConfigSnapshot,
                         config_snapshot_message>(encoded);
    default:
      return std::nullopt;
  }
}

std::optional<entry_message> DecodeEntryMessage(const frame& encoded) {
  switch (static_cast<frame_type>(encoded.type)) {
    case frame_type::entry_hello:
      return DecodeFrame<entry_message, wire::EntryHello, entry_hello_message>(
          encoded);
    case frame_type::start:
      return DecodeFrame<entry_message, wire::Start, start_message>(encoded);
    case frame_type::return_grants:
      return DecodeFrame<entry_message, wire::ReturnGrants,
                         return_grants_message>(encoded);
    case frame_type::demand:
      return DecodeFrame<entry_message, wire::Demand, demand_message>(encoded);
    case frame_type::query:
      return DecodeFrame<entry_message, wire::Query, query_message>(encoded);
    case frame_type::cancel:
      return DecodeFrame<entry_message, wire::Cancel, cancel_message>(encoded);
    case frame_type::forget:
      return DecodeFrame<entry_message, wire::Forget, acknowledge_message>(
          encoded);
    case frame_type::config_request:
      return DecodeFrame<entry_message, wire::ConfigRequest,
                         config_request_message>(encoded);
    case frame_type::config_snapshot:
      return DecodeFrame<entry_message, wire::ConfigSnapshot,
                         config_snapshot_message>(encoded);
    default:
      return std::nullopt;
  }
}

}  // namespace almond
