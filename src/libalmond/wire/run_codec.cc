#include "libalmond/wire/run_codec.h"

#include <algorithm>
#include <utility>

#include "libalmond/wire/thrift_buffer.h"
#include "libalmond/wire/wire_values.h"
#include "run_types.h"

namespace almond {
namespace {

using wire::CountFromWire;
using wire::EnumFromWire;
using wire::EnumToWire;
using wire::NumberFromWire;
using wire::ToWire;

// Frame types, distinct from those of the dispatch and control messages.
enum class frame_type : std::uint8_t {
  run_start = 112,
  run_stop = 113,
  run_withdraw = 114,
  endpoint_state = 120,
  run_end = 121,
};

/// Longer times are shortened, so that adding them to a time cannot overflow.
constexpr milliseconds kMaxColdTime = std::chrono::hours(24);

template <typename Message>
frame MakeFrame(frame_type type, const Message& message) {
  return {static_cast<std::uint8_t>(type), wire::ToBytes(message)};
}

wire::Room Encode(const resources& value) {
  wire::Room result;
  result.cpu_milli = value.cpu_milli;
  result.memory_mib = value.memory_mib;
  result.accelerators = value.accelerators;
  return result;
}

resources Decode(const wire::Room& encoded) {
  return {encoded.cpu_milli, encoded.memory_mib, encoded.accelerators};
}

wire::RunKey Encode(const run_key& key) {
  wire::RunKey result;
  result.job = key.job.Value();
  result.occurrence = static_cast<std::int32_t>(key.occurrence);
  result.step = static_cast<std::int32_t>(key.step);
  result.task_index = static_cast<std::int32_t>(key.index);
  result.run = static_cast<std::int32_t>(key.run);
  return result;
}

run_key Decode(wire::RunKey& encoded) {
  return {job_id(std::move(encoded.job)), CountFromWire(encoded.occurrence),
          CountFromWire(encoded.step), CountFromWire(encoded.task_index),
          CountFromWire(encoded.run)};
}

frame Encode(const run_start& start) {
  wire::RunStart result;
  result.endpoint = start.endpoint.Value();
  result.key = Encode(start.key);
  result.service_name = start.service.Value();
  result.spec = start.spec;
  result.needed = Encode(start.needed);
  result.heard = ToWire(start.newest_timestamp);
  result.order = static_cast<std::int64_t>(start.order);
  result.slack_ms = start.slack.count();
  result.begun = start.job_started;
  result.estimate_ms = start.estimate.count();
  result.priority = static_cast<std::int32_t>(start.priority);
  return MakeFrame(frame_type::run_start, result);
}

run_start Decode(wire::RunStart& encoded) {
  run_start start;
  start.endpoint = endpoint_id(std::move(encoded.endpoint));
  start.key = Decode(encoded.key);
  start.service = service_id(std::move(encoded.service_name));
  start.spec = std::move(encoded.spec);
  start.needed = Decode(encoded.needed);
  start.newest_timestamp = NumberFromWire<agent_timestamp>(encoded.heard);
  start.order = static_cast<std::uint64_t>(encoded.order);
  start.slack = milliseconds(encoded.slack_ms);
  start.job_started = encoded.begun;
  start.estimate = milliseconds(encoded.estimate_ms);
  start.priority = CountFromWire(encoded.priority);
  return start;
}

frame Encode(const run_stop& stop) {
  wire::RunStop result;
  result.endpoint = stop.endpoint.Value();
  result.key = Encode(stop.key);
  return MakeFrame(frame_type::run_stop, result);
}

run_stop Decode(wire::RunStop& encoded) {
  return {endpoint_id(std::move(encoded.endpoint)), Decode(encoded.key)};
}

frame Encode(const run_withdraw& withdraw) {
  wire::RunWithdraw result;
  result.endpoint = withdraw.endpoint.Value();
  result.key = Encode(withdraw.key);
  return MakeFrame(frame_type::run_withdraw, result);
}

run_withdraw Decode(wire::RunWithdraw& encoded) {
  return {endpoint_id(std::move(encoded.endpoint)), Decode(encoded.key)};
}

frame Encode(const endpoint_state& state) {
  wire::EndpointState result;
  result.endpoint = state.endpoint.Value();
  result.service_name = state.service.Value();
  result.data_centre = state.data_centre.Value();
  result.total = Encode(state.total);
  result.unused = Encode(state.unused);
  result.accepting = state.accepting;
  result.stamp = ToWire(state.timestamp);
  result.orders_seen = static_cast<std::int64_t>(state.orders_seen);
  result.waiting = static_cast<std::int32_t>(state.waiting);
  result.waiting_priority = static_cast<std::int32_t>(state.waiting_priority);
  result.cold_ms = state.cold_left.count();
  return MakeFrame(frame_type::endpoint_state, result);
}

endpoint_state Decode(wire::EndpointState& encoded) {
  endpoint_state state;
  state.endpoint = endpoint_id(std::move(encoded.endpoint));
  state.service = service_id(std::move(encoded.service_name));
  state.data_centre = data_centre_id(std::move(encoded.data_centre));
  state.total = Decode(encoded.total);
  state.unused = Decode(encoded.unused);
  state.accepting = encoded.accepting;
  state.timestamp = NumberFromWire<agent_timestamp>(encoded.stamp);
  state.orders_seen = static_cast<std::uint64_t>(encoded.orders_seen);
  state.waiting = CountFromWire(encoded.waiting);
  state.waiting_priority = CountFromWire(encoded.waiting_priority);
  state.cold_left =
      std::clamp(milliseconds(encoded.cold_ms), milliseconds(0), kMaxColdTime);
  return state;
}

frame Encode(const run_end& end) {
  wire::RunEnd result;
  result.endpoint = end.endpoint.Value();
  result.key = Encode(end.key);
  result.kind = EnumToWire(end.kind);
  result.ran_ms = end.ran.count();
  return MakeFrame(frame_type::run_end, result);
}

}  // namespace

frame EncodeEntryRunMessage(const entry_run_message& message) {
  return std::visit([](const auto& body) { return Encode(body); }, message);
}

std::optional<entry_run_message> DecodeEntryRunMessage(const frame& encoded) {
  if (encoded.type == static_cast<std::uint8_t>(frame_type::run_start)) {
    wire::RunStart start;
    if (!wire::FromBytes(encoded.payload, start)) return std::nullopt;
    return Decode(start);
  }
  if (encoded.type == static_cast<std::uint8_t>(frame_type::run_stop)) {
    wire::RunStop stop;
    if (!wire::FromBytes(encoded.payload, stop)) return std::nullopt;
    return Decode(stop);
  }
  if (encoded.type == static_cast<std::uint8_t>(frame_type::run_withdraw)) {
    wire::RunWithdraw withdraw;
    if (!wire::FromBytes(encoded.payload, withdraw)) return std::nullopt;
    return Decode(withdraw);
  }
  return std::nullopt;
}

frame EncodeAgentRunMessage(const agent_run_message& message) {
  return std::visit([](const auto& body) { return Encode(body); }, message);
}

std::optional<agent_run_message> DecodeAgentRunMessage(const frame& encoded) {
  if (encoded.type == static_cast<std::uint8_t>(frame_type::endpoint_state)) {
    wire::EndpointState state;
    if (!wire::FromBytes(encoded.payload, state)) return std::nullopt;
    return Decode(state);
  }
  if (encoded.type == static_cast<std::uint8_t>(frame_type::run_end)) {
    wire::RunEnd end;
    if (!wire::FromBytes(encoded.payload, end)) return std::nullopt;
    run_end result{endpoint_id(std::move(end.endpoint)), Decode(end.key),
                   run_end_kind::not_run, milliseconds(end.ran_ms)};
    if (!EnumFromWire(end.kind, run_end_kind::lost, result.kind)) {
      return std::nullopt;
    }
    return result;
  }
  return std::nullopt;
}

}  // namespace almond
