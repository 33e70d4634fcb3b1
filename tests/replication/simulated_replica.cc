#include "replication/simulated_replica.h"

#include <utility>

namespace almond {
namespace {

/// Makes a snapshot larger than one chunk.
constexpr std::size_t kPadding = 60;

}  // namespace

simulated_replica::simulated_replica(replica_settings settings,
                                     std::mt19937_64& random,
                                     log_history& history, send_hook send)
    : settings_(std::move(settings)),
      random_(random),
      history_(history),
      send_(std::move(send)) {}

void simulated_replica::Start(steady_time now) {
  state_ = 0;
  replica_ = std::make_unique<replica>(settings_, random_, disk_, now);
  for (const replica_id& id : joining_) replica_->AddReplica(id, now);
}

void simulated_replica::Kill() {
  replica_.reset();
  if (!early_acknowledgement_) {
    while (!syncs_.empty() && random_() % 2 == 0) {
      WriteRecords(syncs_.front().records);
      syncs_.pop_front();
    }
  }
  syncs_.clear();
}

void simulated_replica::WipeDisk(replica_incarnation incarnation) {
  RestoreDisk({}, incarnation);
}

void simulated_replica::RestoreDisk(persistent_state disk,
                                    replica_incarnation incarnation) {
  disk_ = std::move(disk);
  settings_.incarnation = incarnation;
}

void simulated_replica::Receive(const replica_message& message,
                                steady_time now) {
  if (replica_) replica_->Receive(message, now);
}

void simulated_replica::Propose(const std::string& command) {
  const std::size_t number = history_.BeginProposal(command);
  replica_->Propose(command, [this, number](const proposal_result& result) {
    history_.EndProposal(number, result);
  });
}

void simulated_replica::Read() {
  const std::size_t number = history_.BeginRead();
  replica_->ConfirmRead([this, number](bool confirmed) {
    if (confirmed) history_.EndRead(number, replica_->Status().applied_index);
  });
}

void simulated_replica::Step(steady_time now) {
  if (!replica_) return;
  replica_->Tick(now);
  for (;;) {
    while (!syncs_.empty() && syncs_.front().due <= now) {
      const pending_sync sync = std::move(syncs_.front());
      syncs_.pop_front();
      WriteRecords(sync.records);
      if (!early_acknowledgement_) Finish(sync);
    }
    replica_output output = replica_->TakeOutput(now);
    if (output.Empty()) break;
    CarryOut(std::move(output), now);
  }
  if (replica_->IsLeader()) {
    history_.OnLeader(replica_->Status().term,
                      settings_.self.Value() + "." +
                          std::to_string(settings_.incarnation.Value()));
  }
}

void simulated_replica::WriteRecords(
    const std::vector<persistent_record>& records) {
  for (const persistent_record& record : records) {
    if (!disk_.Apply(record)) throw std::logic_error("gap in the log");
  }
}

void simulated_replica::Finish(const pending_sync& sync) {
  replica_->OnPersisted(sync.batch);
  for (const replica_message& message : sync.messages) send_(message);
}

void simulated_replica::CarryOut(replica_output output, steady_time now) {
  pending_sync sync{output.batch, std::move(output.records),
                    std::move(output.messages), now};
  if (!sync.records.empty()) {
    sync.due += milliseconds(
        random_() % static_cast<std::uint64_t>(max_sync_time_.count() + 1));
  }
  // Syncs complete in order.
  if (!syncs_.empty()) sync.due = std::max(sync.due, syncs_.back().due);
  if (early_acknowledgement_) Finish(sync);
  syncs_.push_back(std::move(sync));
  ApplyCommitted(output);
  for (const auto& hook : output.completions) hook();
}

void simulated_replica::ApplyCommitted(const replica_output& output) {
  if (output.restore) {
    state_ = std::stoull(output.restore->data);
    history_.OnRestored(output.restore->index, state_);
  }
  for (const committed_entry& entry : output.committed) {
    state_ = log_history::Extend(state_, entry.command);
    history_.OnApplied(entry, state_);
    replica_->OnApplied(entry.index, std::to_string(entry.index));
  }
  if (replica_->SnapshotDue()) {
    replica_->StoreSnapshot(std::to_string(state_) +
                            std::string(kPadding, ' '));
  }
}

}  // namespace almond
