#include "libalmond/controllers/control/control_state_machine.h"

#include <utility>

#include "libalmond/controllers/control/command_codec.h"

namespace almond {
namespace {

// First value of each snapshot; changes with the layout.
constexpr std::uint64_t kSnapshotFormat = 3;
// First layouts with replica address changes and with evacuations; a snapshot
// of an earlier one is read without them.
constexpr std::uint64_t kFormatWithAddresses = 2;
constexpr std::uint64_t kFormatWithEvacuations = 3;

}  // namespace

control_state_machine::control_state_machine(ledger_options options)
    : options_(options), ledger_(options) {}

std::string control_state_machine::Apply(const std::string& command) {
  const auto decoded = DecodeCommand(command);
  if (!decoded) return {};
  ledger_.Advance(decoded->now);
  return EncodeResult(std::visit(
      [this](const auto& body) { return Execute(body); }, decoded->body));
}

std::string control_state_machine::Snapshot() const {
  byte_writer writer;
  writer.Number(kSnapshotFormat);
  config_.Save(writer);
  ledger_.Save(writer);
  writer.Number(address_changes_.size());
  for (const auto& [id, change] : address_changes_) {
    writer.Text(change.id);
    writer.Text(change.peer);
    writer.Text(change.control);
    writer.Text(change.http);
  }
  evacuations_.Save(writer);
  return writer.Take();
}

bool control_state_machine::Restore(const std::string& snapshot) {
  byte_reader reader(snapshot);
  const std::uint64_t format = reader.Number();
  if (format == 0 || format > kSnapshotFormat) return false;
  config_store config;
  ledger restored(options_);
  if (!config.Load(reader) || !restored.Load(reader)) return false;
  std::map<std::string, replica_address_change> address_changes;
  const std::uint64_t change_count =
      format < kFormatWithAddresses ? 0 : reader.Number();
  for (std::uint64_t i = 0; i < change_count && reader.Ok(); ++i) {
    replica_address_change change;
    change.id = reader.Text();
    change.peer = reader.Text();
    change.control = reader.Text();
    change.http = reader.Text();
    address_changes[change.id] = change;
  }
  evacuation_store evacuations;
  if (format >= kFormatWithEvacuations && !evacuations.Load(reader)) {
    return false;
  }
  if (!reader.Finished()) return false;
  evacuations_ = std::move(evacuations);
  address_changes_ = std::move(address_changes);
  config_ = std::move(config);
  ledger_ = std::move(restored);
  return true;
}

control_result control_state_machine::Execute(
    const ledger_claim_message& claim) {
  return claim_result{ledger_.Claim(claim)};
}

control_result control_state_machine::Execute(
    const ledger_finish_message& finish) {
  return ledger_finish_reply_message{ledger_.Finish(finish)};
}

control_result control_state_machine::Execute(
    const takeover_command& takeover) {
  takeover_result result;
  for (const takeover_item& item : takeover.items) {
    if (ledger_.TakeOver(item.submission, item.epoch, takeover.successor)) {
      ++result.taken;
    }
  }
  return result;
}

control_result control_state_machine::Execute(const config_change& change) {
  return config_.Apply(ledger_.Now(), change);
}

control_result control_state_machine::Execute(const versioned_config& config) {
  return config_.Apply(ledger_.Now(), config);
}

control_result control_state_machine::Execute(
    const replica_address_change& change) {
  address_changes_[change.id] = change;
  return replica_address_change_result{};
}

control_result control_state_machine::Execute(const replica_claim& claim) {
  const auto recorded = address_changes_.find(claim.addresses.id);
  if (recorded != address_changes_.end() &&
      recorded->second.peer != claim.expected_peer &&
      recorded->second.peer != claim.addresses.peer) {
    return replica_claim_result{false};
  }
  address_changes_[claim.addresses.id] = claim.addresses;
  return replica_claim_result{true};
}

control_result control_state_machine::Execute(const evacuation_change& change) {
  return evacuation_result{evacuations_.Apply(change)};
}

}  // namespace almond
