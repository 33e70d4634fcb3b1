#include "libalmond/controllers/control/control_state_machine.h"

#include <utility>

#include "libalmond/controllers/control/command_codec.h"

namespace almond {
namespace {

// First value of each snapshot; another layout gets another number.
constexpr std::uint64_t kSnapshotFormat = 2;
// Without the replicas that have moved.
constexpr std::uint64_t kFormatWithoutMoves = 1;

}  // namespace

control_state_machine::control_state_machine(ledger_options options)
    : options_(options), ledger_(options) {}

std::string control_state_machine::Apply(const std::string& command) {
  const auto decoded = DecodeCommand(command);
  if (!decoded) return {};
  ledger_.Advance(decoded->now);
  return EncodeResult(std::visit([this](const auto& body) { return Run(body); },
                                 decoded->body));
}

std::string control_state_machine::Snapshot() const {
  byte_writer writer;
  writer.Number(kSnapshotFormat);
  config_.Save(writer);
  ledger_.Save(writer);
  writer.Number(moved_.size());
  for (const auto& [id, move] : moved_) {
    writer.Text(move.id);
    writer.Text(move.peer);
    writer.Text(move.control);
    writer.Text(move.http);
  }
  return writer.Take();
}

bool control_state_machine::Restore(const std::string& snapshot) {
  byte_reader reader(snapshot);
  const std::uint64_t format = reader.Number();
  if (format != kSnapshotFormat && format != kFormatWithoutMoves) return false;
  config_store config;
  ledger restored(options_);
  if (!config.Load(reader) || !restored.Load(reader)) return false;
  std::map<std::string, replica_address_change> moved;
  const std::uint64_t moves =
      format == kFormatWithoutMoves ? 0 : reader.Number();
  for (std::uint64_t i = 0; i < moves && reader.Ok(); ++i) {
    replica_address_change move;
    move.id = reader.Text();
    move.peer = reader.Text();
    move.control = reader.Text();
    move.http = reader.Text();
    moved[move.id] = move;
  }
  if (!reader.Finished()) return false;
  moved_ = std::move(moved);
  config_ = std::move(config);
  ledger_ = std::move(restored);
  return true;
}

control_result control_state_machine::Run(const ledger_claim_message& claim) {
  return claim_result{ledger_.Claim(claim)};
}

control_result control_state_machine::Run(const ledger_finish_message& finish) {
  return ledger_finish_reply_message{ledger_.Finish(finish)};
}

control_result control_state_machine::Run(const takeover_command& takeover) {
  takeover_result result;
  for (const takeover_item& item : takeover.items) {
    if (ledger_.TakeOver(item.submission, item.epoch, takeover.successor)) {
      ++result.taken;
    }
  }
  return result;
}

control_result control_state_machine::Run(const config_change& change) {
  return config_.Apply(ledger_.Now(), change);
}

control_result control_state_machine::Run(const versioned_config& config) {
  return config_.Apply(ledger_.Now(), config);
}

control_result control_state_machine::Run(const replica_address_change& move) {
  moved_[move.id] = move;
  return replica_address_change_result{};
}

}  // namespace almond
