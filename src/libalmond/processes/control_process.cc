#include "libalmond/processes/control_process.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/net/http_client.h"
#include "libalmond/processes/evacuation_report.h"
#include "libalmond/processes/input_budget.h"
#include "libalmond/processes/operator_log.h"
#include "libalmond/storage/storage_error.h"
#include "libalmond/wire/control_codec.h"

namespace almond {

control_process::control_process(event_loop& loop, const clock_interface& clock,
                                 control_settings settings)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      random_(std::random_device{}()),
      service_(clock, machine_, metrics_, ServiceHooks()),
      api_(service_, machine_, metrics_, ApiHooks()),
      budget_(MakeInputBudget(clock, metrics_, settings_.limits)),
      http_(
          loop,
          [this](const http_request& request,
                 const http_server::responder& respond) {
            const auto logged = LogAnswer(clock_, request, respond);
            if (operator_interface_ && operator_interface_(request, logged)) {
              return;
            }
            api_.Handle(request, logged);
          },
          budget_, listener_kind::probe),
      listener_(loop, clock, [this](const std::shared_ptr<peer_link>& link) {
        OnAccept(link);
      }) {}

std::optional<start_error> control_process::Start() {
  listener_.SetBudget(budget_, listener_kind::member);
  if (!http_.Listen(settings_.listen_http)) {
    return start_error{"cannot bind --listen_http " +
                       settings_.listen_http.ToString()};
  }
  if (!listener_.Listen(settings_.listen_control)) {
    return start_error{"cannot bind --listen_control " +
                       settings_.listen_control.ToString()};
  }
  if (auto error = StartHost()) return error;
  tick_timer_ = loop_.Every(control_service::kTickPeriod, [this] { Tick(); });
  LOG(INFO) << "replica " << settings_.id << " serves operators on "
            << http_.Address().ToString() << " and processes on "
            << listener_.Address().ToString();
  return std::nullopt;
}

control_service::hooks control_process::ServiceHooks() {
  return {[this](std::string command, proposal_hook on_end) {
            host_->Propose(std::move(command), std::move(on_end));
          },
          [this](read_hook on_end) { host_->ConfirmRead(std::move(on_end)); },
          [this] { return IsLeader() && host_->IsEstablished(); },
          [this] {
            const auto leader = LeaderAddress();
            return leader && leader->id != settings_.id
                       ? leader->control.ToString()
                       : "";
          },
          [this](std::function<void()> call) {
            loop_.Post(milliseconds(0), std::move(call));
          },
          CheckDocument,
          [this] { return DataCentres(); }};
}

std::vector<data_centre_id> control_process::DataCentres() const {
  std::vector<data_centre_id> result = settings_.data_centres;
  const config_store& config = machine_.Config();
  const std::string* text = config.Document(config.Newest());
  const auto document =
      text == nullptr ? std::nullopt : config_document::Parse(*text);
  if (!document) return result;
  const auto named = NamedDataCentres(*document);
  result.insert(result.end(), named.begin(), named.end());
  return result;
}

control_process_api::hooks control_process::ApiHooks() {
  return {[this] { return IsLeader(); },
          [this] { return LeaderId(); },
          [this] { return LeaderHttpAddress(); },
          [this] { return Replicas(); },
          [this](const socket_address& peer) { RecordWaiting(peer); },
          [this] { return CountWaiting(); }};
}

replica_host_settings control_process::HostSettings() const {
  replica_host_settings result;
  result.cluster = settings_.cluster;
  result.self = replica_id(settings_.id);
  for (const control_address& replica : settings_.replicas) {
    const bool self = replica.id == settings_.id;
    result.replicas.push_back(
        {replica_id(replica.id), self ? settings_.listen_peer : replica.peer,
         replica.control, replica.founder, replica.added});
  }
  result.data_folder = settings_.data_dir;
  result.bootstrap = settings_.bootstrap;
  result.budget = budget_;
  result.snapshot_after_entries = kSnapshotAfterEntries;
  result.max_places = settings_.max_places;
  return result;
}

replica_host::state_machine control_process::StateMachineHooks() {
  return {
      [this](log_index, const std::string& command) { return Apply(command); },
      [this] { return machine_.Snapshot(); },
      [this](const std::string& snapshot) {
        // The checksum was valid, so another release wrote this snapshot.
        if (!machine_.Restore(snapshot)) {
          LOG(FATAL) << "the snapshot in " << settings_.data_dir
                     << " has a format that this release does not support";
        }
      },
      [this] { service_.UpdateLeadership(); }};
}

std::optional<start_error> control_process::StartHost() {
  return boost::leaf::try_handle_all(
      [this]() -> boost::leaf::result<std::optional<start_error>> {
        BOOST_LEAF_AUTO(
            host, replica_host::Start(loop_, clock_, random_, metrics_,
                                      HostSettings(), StateMachineHooks()));
        host_ = std::move(host);
        return std::optional<start_error>();
      },
      [](const storage_error& error) {
        return std::optional(MakeStartError(error));
      },
      [](const replica_host_error& error) {
        return std::optional(start_error{error.message});
      },
      [] { return std::optional(start_error{"the replica cannot start"}); });
}

std::string control_process::Apply(const std::string& command) {
  const config_version before = machine_.Config().Newest();
  const evacuation_revision evacuations =
      machine_.Evacuations().Evacuations().revision;
  std::string result = machine_.Apply(command);
  const config_version newest = machine_.Config().Newest();
  // Changes that are replayed from the log during the start are not reported.
  if (host_ && newest != before) {
    LOG(INFO) << "accepted configuration version " << newest << ", digest "
              << machine_.Config().Digest(newest) << SyncedCopies();
    accepted_at_ = clock_.SteadyNow();
  }
  if (host_ && machine_.Evacuations().Evacuations().revision != evacuations) {
    LogEvacuations();
  }
  return result;
}

void control_process::LogEvacuations() const {
  const evacuation_list& list = machine_.Evacuations().Evacuations();
  LOG(INFO) << "accepted evacuations of revision " << list.revision << ": "
            << EvacuatedNames(list) << SyncedCopies();
}

std::string control_process::SyncedCopies() const {
  if (!IsLeader()) return "";
  const replica_status status = host_->Status();
  return ", synced by " + std::to_string(status.synced_copies) + " of " +
         std::to_string(status.places) + " replicas";
}

std::string control_process::LeaderId() const {
  return host_ ? host_->LeaderId().Value() : "";
}

std::vector<control_address> control_process::ReplicaAddresses() const {
  std::vector<control_address> result = settings_.replicas;
  const auto find = [&result](const std::string& id) {
    return std::find_if(
        result.begin(), result.end(),
        [&id](const auto& replica) { return replica.id == id; });
  };
  for (const auto& [id, move] : machine_.MovedReplicas()) {
    auto replica = find(id);
    if (replica == result.end()) {
      result.push_back({id, {}, {}, std::nullopt, false, true});
      replica = std::prev(result.end());
    }
    const auto peer = socket_address::Parse(move.peer);
    const auto control = socket_address::Parse(move.control);
    if (peer) replica->peer = *peer;
    if (control) replica->control = *control;
    replica->http = socket_address::Parse(move.http);
  }
  for (const control_address& reported : reported_replicas_) {
    if (reported.id == settings_.id) continue;
    const auto replica = find(reported.id);
    if (replica == result.end()) {
      result.push_back(reported);
    } else {
      *replica = reported;
    }
  }
  return result;
}

std::optional<control_address> control_process::LeaderAddress() const {
  const std::string leader = host_ ? host_->LiveLeaderId().Value() : "";
  for (const control_address& replica : ReplicaAddresses()) {
    if (replica.id == leader) return replica;
  }
  return std::nullopt;
}

void control_process::UpdatePeerAddresses() {
  for (const control_address& replica : ReplicaAddresses()) {
    if (replica.id != settings_.id) {
      host_->SetPeerAddress(replica_id(replica.id), replica.peer);
    }
  }
}

void control_process::ReportAddresses() {
  if (!on_addresses_) return;
  std::vector<control_address> addresses = ReplicaAddresses();
  for (std::size_t i = 0; i < settings_.replicas.size(); ++i) {
    if (settings_.replicas[i].id == settings_.id) {
      addresses[i] = settings_.replicas[i];
    }
  }
  if (addresses == settings_.replicas) return;
  settings_.replicas = std::move(addresses);
  on_addresses_(settings_.replicas);
}

void control_process::RecordWaiting(const socket_address& peer) {
  waiting_[peer] = clock_.SteadyNow();
}

std::size_t control_process::CountWaiting() {
  const steady_time now = clock_.SteadyNow();
  std::erase_if(waiting_, [now](const auto& process) {
    return now - process.second >= kReplicaLossTimeout;
  });
  for (const replica_summary& replica : Replicas()) {
    const auto peer = socket_address::Parse(replica.peer);
    const bool joined =
        replica.silent_for && *replica.silent_for < kReplicaLossTimeout;
    if (peer && joined) waiting_.erase(*peer);
  }
  return waiting_.size();
}

void control_process::CheckNewPlace(const replica_status& status) {
  const bool added = std::any_of(
      settings_.replicas.begin(), settings_.replicas.end(),
      [this](auto& own) { return own.id == settings_.id && own.added; });
  if (!added || status.admitted || status.leader.Empty()) {
    unplaced_since_.reset();
    return;
  }
  const steady_time now = clock_.SteadyNow();
  if (!unplaced_since_) unplaced_since_ = now;
  if (now - *unplaced_since_ >= kNewPlaceTimeout) {
    EndReplaced("has no place, because the leader added none");
  }
}

void control_process::ReportAddressChange() {
  const replica_address_change own{
      settings_.id, settings_.listen_peer.ToString(),
      listener_.Address().ToString(), http_.Address().ToString()};
  for (const control_address& replica : ReplicaAddresses()) {
    if (replica.id != settings_.id) continue;
    if (replica.peer == settings_.listen_peer) return;
  }
  // Another process that has claimed the place gets time to join.
  const steady_time changed_at = known_addresses_[settings_.id].since;
  if (host_->Status().replaced ||
      clock_.SteadyNow() - changed_at < kReplicaLossTimeout) {
    return;
  }
  if (IsLeader()) {
    service_.ChangeReplicaAddress(own, [](bool /*committed*/) {});
    return;
  }
  // A leader that does not know this replica's new address cannot reach it, so
  // the leader may be unknown here. The change is therefore sent to all other
  // replicas that have an HTTP address; only the leader accepts it.
  for (const control_address& replica : ReplicaAddresses()) {
    if (replica.id == settings_.id || !replica.http) continue;
    SendHttpRequest(
        loop_, *replica.http,
        {"POST", "/v1/replicas", "", {}, EncodeReplicaAddressChange(own)},
        control_service::kTickPeriod,
        [](const http_call_result& /*result*/) {});
  }
}

void control_process::CheckPlace() {
  const replica_status status = host_->Status();
  CheckNewPlace(status);
  if (status.replaced) {
    EndReplaced("was replaced by another process");
  } else if (status.admitted && !status.leader.Empty()) {
    finder_.reset();
    reported_replicas_.clear();
  } else if (!finder_) {
    FollowReplicas();
  }
}

void control_process::FollowReplicas() {
  std::vector<socket_address> addresses;
  for (const control_address& replica : ReplicaAddresses()) {
    if (replica.id != settings_.id && replica.http) {
      addresses.push_back(*replica.http);
    }
  }
  if (addresses.empty()) return;
  assignment_finder::hooks hooks;
  hooks.on_replicas = [this](const auto& replicas) { OnReplicas(replicas); };
  finder_ = std::make_unique<assignment_finder>(
      loop_, clock_, control_address(), std::move(addresses), std::move(hooks));
}

void control_process::OnReplicas(const std::vector<control_address>& replicas) {
  reported_replicas_ = replicas;
  if (host_->Status().admitted) return;
  for (const control_address& replica : replicas) {
    if (replica.id == settings_.id && replica.peer != settings_.listen_peer) {
      EndReplaced("lost its place to " + replica.peer.ToString() +
                  " before it was admitted");
    }
  }
}

void control_process::EndReplaced(const std::string& reason) {
  if (!on_replaced_) return;
  LOG(WARNING) << "replica " << settings_.id << " " << reason;
  std::exchange(on_replaced_, nullptr)();
}

std::string control_process::LeaderHttpAddress() const {
  const auto leader = LeaderAddress();
  return !leader || !leader->http ? "" : leader->http->ToString();
}

void control_process::RecordAddresses() {
  for (const control_address& replica : ReplicaAddresses()) {
    known_address& known = known_addresses_[replica.id];
    if (known.peer != replica.peer) known = {replica.peer, clock_.SteadyNow()};
  }
}

std::vector<replica_summary> control_process::Replicas() {
  RecordAddresses();
  const replica_status status = host_->Status();
  std::vector<replica_summary> result;
  for (const control_address& replica : ReplicaAddresses()) {
    replica_summary& summary = result.emplace_back();
    summary.id = replica.id;
    summary.founder = replica.founder;
    summary.added = replica.added;
    if (replica.peer.port != 0) {
      summary.peer = replica.peer.ToString();
      summary.control = replica.control.ToString();
    }
    summary.http = replica.http ? replica.http->ToString() : "";
    const auto last_contact = status.last_contact.find(replica_id(replica.id));
    if (last_contact != status.last_contact.end()) {
      // A process that has just claimed the place is not silent yet.
      summary.silent_for = std::chrono::duration_cast<milliseconds>(
          clock_.SteadyNow() -
          std::max(last_contact->second, known_addresses_[replica.id].since));
    }
    const auto member = status.members.find(replica_id(replica.id));
    summary.admitted = member != status.members.end();
    if (summary.admitted) summary.incarnation = member->second;
    summary.role = replica.id == status.leader.Value() ? "leader" : "follower";
    if (replica.id != settings_.id) continue;
    summary.role = Name(status.role);
    summary.term = status.term;
    summary.commit_index = status.commit_index;
  }
  return result;
}

void control_process::OnAccept(const std::shared_ptr<peer_link>& link) {
  last_link_ = last_link_.Next();
  const link_id id = last_link_;
  links_[id] = link;
  link->Start(
      {[this, id](const frame& encoded) { OnFrame(id, encoded); },
       [this, id](const std::string& /*reason*/) { links_.erase(id); }});
}

void control_process::OnFrame(link_id id, const frame& encoded) {
  const auto link = links_.find(id);
  if (link == links_.end()) return;
  const auto request = DecodeControlRequest(encoded);
  if (!request) {
    metrics_.Counter("almond_bad_frames_total").Add();
    link->second->Close();
    links_.erase(link);
    return;
  }
  service_.Handle(request->body,
                  [to = std::weak_ptr(link->second),
                   number = request->number](const control_reply& reply) {
                    const auto open = to.lock();
                    if (open) open->Send(EncodeControlReply(number, reply));
                  });
}

void control_process::ReportLaggingProcesses() {
  const config_version newest = machine_.Config().Newest();
  const std::vector<process_status> processes =
      service_.Directory().Processes();
  const auto lagging = std::count_if(
      processes.begin(), processes.end(), [newest](const auto& process) {
        // Agents without a configuration of their own report version 0.
        const bool follows = process.heartbeat.role == process_role::entry ||
                             process.heartbeat.version.Value() != 0;
        return follows && process.heartbeat.version < newest;
      });
  metrics_.Gauge("almond_control_config_lagging_processes")
      .Set(static_cast<double>(lagging));
  if (!IsLeader()) accepted_at_.reset();
  if (!accepted_at_ || lagging > 0 || processes.empty()) return;
  LOG(INFO) << "configuration version " << newest << " is in force at all "
            << processes.size() << " known processes, "
            << std::chrono::duration_cast<milliseconds>(clock_.SteadyNow() -
                                                        *accepted_at_)
                   .count()
            << " ms after it was accepted";
  accepted_at_.reset();
}

void control_process::Tick() {
  service_.Tick();
  ReportLaggingProcesses();
  RecordAddresses();
  UpdatePeerAddresses();
  ReportAddresses();
  ReportAddressChange();
  CheckPlace();
  metrics_.Gauge("almond_control_leader").Set(IsLeader() ? 1 : 0);
  metrics_.Gauge("almond_control_config_version")
      .Set(static_cast<double>(machine_.Config().Newest().Value()));
  SetEvacuationGauge(machine_.Evacuations().Evacuations(), metrics_);
  metrics_.Gauge("almond_control_ledger_records")
      .Set(static_cast<double>(machine_.Ledger().Size()));
  metrics_.Gauge("almond_control_connections")
      .Set(static_cast<double>(links_.size()));
}

}  // namespace almond
