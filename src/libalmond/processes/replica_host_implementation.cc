#include "libalmond/processes/replica_host_implementation.h"

#include <boost/leaf.hpp>
#include <utility>

#include "libalmond/core/logging.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

constexpr milliseconds kTickPeriod{25};
/// Time between attempts to write the whole state into new files.
constexpr milliseconds kRewritePeriod{100};
constexpr std::chrono::seconds kFailedWriteLogPeriod{1};

replica_settings MakeReplicaSettings(const replica_host_settings& settings,
                                     replica_incarnation incarnation) {
  replica_settings result;
  result.self = settings.self;
  result.incarnation = incarnation;
  for (const replica_address& replica : settings.replicas) {
    if (replica.added) continue;
    result.replicas.push_back(replica.id);
    if (replica.founder) result.founders.push_back(replica.id);
  }
  result.snapshot_after_entries = settings.snapshot_after_entries;
  result.max_places = settings.max_places;
  return result;
}

std::size_t EntryCount(const persistent_record& record) {
  const auto* append = std::get_if<append_record>(&record);
  return append == nullptr ? 0 : append->entries.size();
}

}  // namespace

replica_host::implementation::implementation(
    event_loop& loop, const clock_interface& clock, std::mt19937_64& random,
    metrics_registry& metrics, replica_host_settings settings,
    state_machine machine, std::unique_ptr<replica_host_storage> storage)
    : loop_(loop),
      clock_(clock),
      metrics_(metrics),
      settings_(std::move(settings)),
      machine_(std::move(machine)),
      storage_(std::move(storage)),
      replica_(MakeReplicaSettings(settings_, storage_->Incarnation()), random,
               storage_->TakeState(), clock.SteadyNow()),
      links_(loop, clock, settings_, [this](const replica_message& message) {
        if (unwritten_output_) return;
        replica_.Receive(message, clock_.SteadyNow());
        ScheduleFlush();
      }) {}

bool replica_host::implementation::Start() {
  for (const char* name :
       {"almond_log_syncs_total", "almond_log_appended_entries_total",
        "almond_log_elections_total", "almond_log_leader_changes_total",
        "almond_log_snapshots_total", "almond_log_failed_writes_total"}) {
    metrics_.Counter(name);
  }
  for (const replica_address& replica : settings_.replicas) {
    if (replica.added) replica_.AddReplica(replica.id, clock_.SteadyNow());
  }
  // The addresses of places that were added are in the log, which is applied
  // only once there is a leader. Until then their replicas may dial this one.
  for (const auto& [id, incarnation] : replica_.LatestMembers().voters) {
    if (AddressOf(id) == nullptr) AddPeer(id);
  }
  if (!links_.Start(AddressOf(settings_.self)->replication)) return false;
  Flush();
  tick_timer_ = loop_.Every(kTickPeriod, [this] {
    // A leader with a full disk keeps ticking, so that it steps down once it
    // loses contact with a majority.
    if (!unwritten_output_ || replica_.IsLeader()) {
      replica_.Tick(clock_.SteadyNow());
    }
    Flush();
  });
  return true;
}

void replica_host::implementation::Propose(std::string command,
                                           proposal_hook on_end) {
  if (command.size() > kMaxCommandBytes) {
    loop_.Post(milliseconds(0),
               [hook = std::move(on_end)] { hook(proposal_result()); });
    return;
  }
  replica_.Propose(std::move(command), std::move(on_end));
  ScheduleFlush();
}

void replica_host::implementation::ConfirmRead(read_hook on_end) {
  replica_.ConfirmRead(std::move(on_end));
  ScheduleFlush();
}

void replica_host::implementation::SetPeerAddress(
    const replica_id& id, const socket_address& replication) {
  if (AddressOf(id) == nullptr) AddPeer(id);
  for (replica_address& replica : settings_.replicas) {
    if (replica.id != id || replica.replication == replication) continue;
    replica.replication = replication;
    links_.Dial(replica);
  }
}

void replica_host::implementation::AddPeer(const replica_id& id) {
  settings_.replicas.push_back({id, {}, {}, false, true});
  replica_.AddReplica(id, clock_.SteadyNow());
}

const replica_address* replica_host::implementation::AddressOf(
    const replica_id& id) const {
  for (const replica_address& replica : settings_.replicas) {
    if (replica.id == id) return &replica;
  }
  return nullptr;
}

void replica_host::implementation::ScheduleFlush() {
  if (flush_timer_.Active()) return;
  flush_timer_ = loop_.After(milliseconds(0), [this] { Flush(); });
}

void replica_host::implementation::Flush() {
  flush_timer_.Reset();
  if (unwritten_output_) {
    if (clock_.SteadyNow() < next_write_) return;
    replica_output output = std::move(*unwritten_output_);
    unwritten_output_.reset();
    if (ProcessOutput(std::move(output))) {
      LOG(INFO) << "control log: writes to the disk succeed again";
    }
  }
  while (!unwritten_output_) {
    replica_output output = replica_.TakeOutput(clock_.SteadyNow());
    if (output.Empty()) break;
    ProcessOutput(std::move(output));
  }
  ReportChanges();
}

bool replica_host::implementation::ProcessOutput(replica_output output) {
  if (!Write(output)) {
    unwritten_output_ = std::move(output);
    return false;
  }
  replica_.OnPersisted(output.batch);
  for (const replica_message& message : output.messages) {
    links_.Send(message);
  }
  Apply(output);
  for (const auto& hook : output.completions) hook();
  return true;
}

bool replica_host::implementation::Write(const replica_output& output) {
  if (output.records.empty()) return true;
  const steady_time start = clock_.SteadyNow();
  const bool written = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        if (storage_->NeedsRewrite()) {
          BOOST_LEAF_CHECK(storage_->Rewrite(replica_.DurableState()));
        } else {
          BOOST_LEAF_CHECK(storage_->Write(output.records));
        }
        return true;
      },
      [this](const storage_error& error) {
        OnWriteFailed(error);
        return false;
      },
      [this] {
        OnWriteFailed({settings_.data_folder, 0, "unknown error"});
        return false;
      });
  if (!written) return false;
  metrics_.Summary("almond_log_sync_seconds").Add(clock_.SteadyNow() - start);
  metrics_.Counter("almond_log_syncs_total").Add();
  for (const persistent_record& record : output.records) {
    metrics_.Counter("almond_log_appended_entries_total")
        .Add(EntryCount(record));
  }
  return true;
}

void replica_host::implementation::OnWriteFailed(const storage_error& error) {
  const steady_time now = clock_.SteadyNow();
  next_write_ = now + (storage_->NeedsRewrite() ? kRewritePeriod : kTickPeriod);
  metrics_.Counter("almond_log_failed_writes_total").Add();
  if (error.no_space) metrics_.Counter("almond_log_full_disk_total").Add();
  if (failure_logged_at_ && now - *failure_logged_at_ < kFailedWriteLogPeriod) {
    return;
  }
  failure_logged_at_ = now;
  LOG(ERROR) << "control log: " << error.ToString()
             << "; retrying, nothing is acknowledged until the write succeeds";
}

void replica_host::implementation::Apply(const replica_output& output) {
  if (output.restore) machine_.restore(output.restore->data);
  for (const committed_entry& entry : output.committed) {
    std::string result;
    if (entry.kind == log_entry_kind::command) {
      result = machine_.apply(entry.index, entry.command);
    }
    replica_.OnApplied(entry.index, result);
  }
  if (replica_.SnapshotDue()) {
    replica_.StoreSnapshot(machine_.snapshot());
    metrics_.Counter("almond_log_snapshots_total").Add();
  }
}

void replica_host::implementation::ReportChanges() {
  const replica_status status = replica_.Status();
  metrics_.Gauge("almond_log_term").Set(static_cast<double>(status.term));
  metrics_.Gauge("almond_log_commit_index")
      .Set(static_cast<double>(status.commit_index));
  metrics_.Gauge("almond_log_file_bytes")
      .Set(static_cast<double>(storage_->LogBytes()));
  metrics_.Gauge("almond_log_leader").Set(replica_.IsLeader() ? 1 : 0);
  metrics_.Gauge("almond_log_places").Set(static_cast<double>(status.places));
  metrics_.Gauge("almond_log_voters")
      .Set(static_cast<double>(status.members.size()));
  metrics_.Gauge("almond_log_synced_copies")
      .Set(static_cast<double>(status.synced_copies));
  if (status.role == replica_role::candidate &&
      status.term != candidate_term_) {
    candidate_term_ = status.term;
    metrics_.Counter("almond_log_elections_total").Add();
  }
  bool changed = status.leader != followed_leader_;
  followed_leader_ = status.leader;
  if (!status.leader.Empty() && status.leader != known_leader_) {
    known_leader_ = status.leader;
    metrics_.Counter("almond_log_leader_changes_total").Add();
    LOG(INFO) << "control log: leader is " << status.leader << " in term "
              << status.term;
  }
  ReportMembership(status);
  if (leader_ != replica_.IsLeader()) {
    changed = true;
    leader_ = replica_.IsLeader();
    if (!leader_) LOG(INFO) << "control log: no longer the leader";
  }
  if (established_ != replica_.IsEstablished()) {
    changed = true;
    established_ = replica_.IsEstablished();
    if (established_) {
      LOG(INFO) << "control log: the leader of term " << status.term
                << " has applied all entries up to " << status.applied_index;
    }
  }
  if (changed && machine_.on_leader_change) machine_.on_leader_change();
}

void replica_host::implementation::ReportMembership(
    const replica_status& status) {
  if (status.members != members_) {
    std::string voters;
    for (const auto& [id, incarnation] : status.members) {
      voters += " " + id.Value() + "/" + std::to_string(incarnation.Value());
    }
    LOG(INFO) << "control log: " << status.members.size() << " voters of "
              << status.places << " replicas:" << voters;
    members_ = status.members;
  }
  if (status.admitted != admitted_) {
    admitted_ = status.admitted;
    LOG(INFO) << "control log: incarnation " << status.incarnation
              << (admitted_ ? " is admitted as a voter"
                            : " is not admitted as a voter");
  }
  if (status.replaced && !replaced_) {
    replaced_ = true;
    LOG(ERROR) << "control log: incarnation " << status.incarnation
               << " was replaced; stop the process and empty "
               << settings_.data_folder
               << " to let the replica join with a new incarnation";
  }
}

}  // namespace almond
