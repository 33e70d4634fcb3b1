#include "libalmond/controllers/control/command_codec.h"

#include <utility>

#include "libalmond/controllers/control/byte_buffer.h"

namespace almond {
namespace {

template <typename Enum>
void WriteEnum(byte_writer& writer, Enum value) {
  writer.Number(static_cast<std::uint64_t>(value));
}

void Write(byte_writer& writer, const refusal& value) {
  WriteEnum(writer, value.reason);
  WriteEnum(writer, value.outcome);
  writer.Text(value.detail);
}

void Read(byte_reader& reader, refusal& value) {
  value.reason = reader.Enumerator(refusal_reason::answer_lost);
  value.outcome = reader.Enumerator(run_outcome::unknown);
  value.detail = reader.Text();
}

void Write(byte_writer& writer, const ledger_record& value) {
  writer.Id(value.submission);
  writer.Text(value.digest);
  writer.Text(value.service.Value());
  writer.Number(value.task_count);
  writer.Text(value.owner.Value());
  writer.Number(value.owner_incarnation);
  writer.Number(value.epoch);
  WriteEnum(writer, value.state);
  Write(writer, value.failure);
  writer.Time(value.accepted);
  writer.Time(value.deadline);
}

void Read(byte_reader& reader, ledger_record& value) {
  value.submission = reader.Id();
  value.digest = reader.Text();
  value.service = service_id(reader.Text());
  value.task_count = reader.Number32();
  value.owner = entry_id(reader.Text());
  value.owner_incarnation = incarnation_id(reader.Number());
  value.epoch = owner_epoch(reader.Number());
  value.state = reader.Enumerator(ledger_state::failed);
  Read(reader, value.failure);
  value.accepted = reader.Time();
  value.deadline = reader.Time();
}

void Write(byte_writer& writer, const ledger_claim_message& value) {
  writer.Id(value.submission);
  writer.Text(value.digest);
  writer.Text(value.service.Value());
  writer.Number(value.task_count);
  writer.Text(value.owner.Value());
  writer.Number(value.owner_incarnation);
  writer.Time(value.deadline);
}

void Read(byte_reader& reader, ledger_claim_message& value) {
  value.submission = reader.Id();
  value.digest = reader.Text();
  value.service = service_id(reader.Text());
  value.task_count = reader.Number32();
  value.owner = entry_id(reader.Text());
  value.owner_incarnation = incarnation_id(reader.Number());
  value.deadline = reader.Time();
}

void Write(byte_writer& writer, const ledger_finish_message& value) {
  writer.Id(value.submission);
  writer.Number(value.epoch);
  WriteEnum(writer, value.state);
  Write(writer, value.failure);
}

void Read(byte_reader& reader, ledger_finish_message& value) {
  value.submission = reader.Id();
  value.epoch = owner_epoch(reader.Number());
  value.state = reader.Enumerator(ledger_state::failed);
  Read(reader, value.failure);
}

void Write(byte_writer& writer, const takeover_command& value) {
  writer.Text(value.successor.entry.Value());
  writer.Number(value.successor.incarnation);
  writer.Number(value.items.size());
  for (const takeover_item& item : value.items) {
    writer.Id(item.submission);
    writer.Number(item.epoch);
  }
}

void Read(byte_reader& reader, takeover_command& value) {
  value.successor.entry = entry_id(reader.Text());
  value.successor.incarnation = incarnation_id(reader.Number());
  const std::uint64_t count = reader.Number();
  for (std::uint64_t i = 0; i < count && reader.Ok(); ++i) {
    const uuid submission = reader.Id();
    value.items.push_back({submission, owner_epoch(reader.Number())});
  }
}

void Write(byte_writer& writer, const config_change& value) {
  writer.Id(value.change_id);
  writer.Number(value.expected);
  writer.Text(value.digest);
  writer.Text(value.document);
}

void Read(byte_reader& reader, config_change& value) {
  value.change_id = reader.Id();
  value.expected = config_version(reader.Number());
  value.digest = reader.Text();
  value.document = reader.Text();
}

void Write(byte_writer& writer, const versioned_config& value) {
  writer.Number(value.version);
  writer.Text(value.digest);
  writer.Text(value.document);
}

void Read(byte_reader& reader, versioned_config& value) {
  value.version = config_version(reader.Number());
  value.digest = reader.Text();
  value.document = reader.Text();
}

void Write(byte_writer& writer, const replica_address_change& value) {
  writer.Text(value.id);
  writer.Text(value.peer);
  writer.Text(value.control);
  writer.Text(value.http);
}

void Read(byte_reader& reader, replica_address_change& value) {
  value.id = reader.Text();
  value.peer = reader.Text();
  value.control = reader.Text();
  value.http = reader.Text();
}

void Write(byte_writer& writer, const replica_claim& value) {
  Write(writer, value.addresses);
  writer.Text(value.expected_peer);
}

void Read(byte_reader& reader, replica_claim& value) {
  Read(reader, value.addresses);
  value.expected_peer = reader.Text();
}

void Write(byte_writer& writer, const evacuation_change& value) {
  writer.Text(value.data_centre.Value());
  writer.Number(value.evacuated ? 1 : 0);
}

void Read(byte_reader& reader, evacuation_change& value) {
  value.data_centre = data_centre_id(reader.Text());
  value.evacuated = reader.Number() != 0;
}

void Write(byte_writer& writer, const evacuation_result& value) {
  writer.Number(value.revision);
}

void Read(byte_reader& reader, evacuation_result& value) {
  value.revision = evacuation_revision(reader.Number());
}

void Write(byte_writer& writer, const replica_claim_result& value) {
  writer.Number(value.accepted ? 1 : 0);
}

void Read(byte_reader& reader, replica_claim_result& value) {
  value.accepted = reader.Number() != 0;
}

void Write(byte_writer& /*writer*/,
           const replica_address_change_result& /*value*/) {}

void Read(byte_reader& /*reader*/, replica_address_change_result& /*value*/) {}

void Write(byte_writer& writer, const claim_result& value) {
  writer.Number(value.reply ? 1 : 0);
  if (!value.reply) return;
  WriteEnum(writer, value.reply->outcome);
  Write(writer, value.reply->record);
}

void Read(byte_reader& reader, claim_result& value) {
  if (reader.Number() == 0) return;
  value.reply.emplace();
  value.reply->outcome = reader.Enumerator(claim_outcome::too_new);
  Read(reader, value.reply->record);
}

void Write(byte_writer& writer, const ledger_finish_reply_message& value) {
  writer.Number(value.stored ? 1 : 0);
}

void Read(byte_reader& reader, ledger_finish_reply_message& value) {
  value.stored = reader.Number() != 0;
}

void Write(byte_writer& writer, const takeover_result& value) {
  writer.Number(value.taken);
}

void Read(byte_reader& reader, takeover_result& value) {
  value.taken = reader.Number32();
}

void Write(byte_writer& writer, const change_result& value) {
  WriteEnum(writer, value.outcome);
  writer.Number(value.version);
  writer.Text(value.digest);
}

void Read(byte_reader& reader, change_result& value) {
  value.outcome = reader.Enumerator(change_outcome::not_newer);
  value.version = config_version(reader.Number());
  value.digest = reader.Text();
}

// A variant is encoded as the index of its alternative, followed by the
// alternative itself.
template <typename Variant>
void WriteVariant(byte_writer& writer, const Variant& value) {
  writer.Number(value.index());
  std::visit([&writer](const auto& body) { Write(writer, body); }, value);
}

template <std::size_t Index = 0, typename Variant>
bool ReadVariant(byte_reader& reader, std::uint64_t index, Variant& value) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (index != Index) return ReadVariant<Index + 1>(reader, index, value);
    Read(reader, value.template emplace<Index>());
    return reader.Finished();
  }
  return false;
}

}  // namespace

std::string EncodeCommand(const control_command& command) {
  byte_writer writer;
  writer.Time(command.now);
  WriteVariant(writer, command.body);
  return writer.Take();
}

std::optional<control_command> DecodeCommand(std::string_view bytes) {
  byte_reader reader(bytes);
  control_command command;
  command.now = reader.Time();
  const std::uint64_t index = reader.Number();
  if (!ReadVariant(reader, index, command.body)) return std::nullopt;
  return command;
}

std::string EncodeResult(const control_result& result) {
  byte_writer writer;
  WriteVariant(writer, result);
  return writer.Take();
}

std::optional<control_result> DecodeResult(std::string_view bytes) {
  byte_reader reader(bytes);
  control_result result;
  const std::uint64_t index = reader.Number();
  if (!ReadVariant(reader, index, result)) return std::nullopt;
  return result;
}

}  // namespace almond
