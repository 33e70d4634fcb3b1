#include "libalmond/controllers/agent/run_controller.h"

#include <algorithm>
#include <utility>

namespace almond {
namespace {

std::int64_t Milliseconds(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace

run_controller::run_controller(const clock_interface& clock, decision_log& log,
                               metrics_registry& metrics, std::uint64_t fence,
                               hooks callbacks)
    : clock_(clock),
      log_(log),
      hooks_(std::move(callbacks)),
      fence_(fence),
      queue_(clock),
      starts_(metrics.Counter("almond_agent_run_starts_total")),
      refused_(metrics.Counter("almond_agent_run_refusals_total")),
      unanswered_(metrics.Counter("almond_agent_unanswered_orders_total")),
      endpoint_losses_(metrics.Counter("almond_agent_endpoint_losses_total")),
      stalled_runs_(metrics.Counter("almond_agent_runs_standing_still_total")) {
}

void run_controller::OnAnnouncement(const leased_endpoint& announced) {
  const bool newer_incarnation = announced.incarnation > endpoint_.incarnation;
  if (announced.incarnation < endpoint_.incarnation) return;
  if (!newer_incarnation && announced.sequence <= endpoint_.sequence) return;
  const bool changed = newer_incarnation || !present_ || !announced_ ||
                       announced.leaving != endpoint_.leaving ||
                       announced.total != endpoint_.total;
  if (newer_incarnation && endpoint_.incarnation != 0) {
    OnRestart("endpoint announced a newer incarnation");
  }
  endpoint_ = announced;
  cold_until_ = clock_.SteadyNow() + announced.cold_left;
  present_ = true;
  announced_ = true;
  if (!changed) return;
  log_.Write("endpoint", {{"endpoint", endpoint_.id.Value()},
                          {"incarnation", endpoint_.incarnation},
                          {"leaving", endpoint_.leaving},
                          {"cpu_milli", endpoint_.total.cpu_milli}});
  Renew();
  NotifyChange();
}

void run_controller::OnDeparture() {
  if (!present_) return;
  present_ = false;
  log_.Write("endpoint_departed", {{"endpoint", endpoint_.id.Value()},
                                   {"incarnation", endpoint_.incarnation},
                                   {"runs", runs_.size()}});
  RefuseQueued("endpoint departed");
  NotifyChange();
}

void run_controller::SetEvacuated(bool evacuated) {
  if (std::exchange(evacuated_, evacuated) == evacuated) return;
  if (evacuated) RefuseQueued("evacuated");
  NotifyChange();
}

void run_controller::Start(link_id link, const run_start& start) {
  if (const char* cause = Refusal(start)) {
    Refuse(link, start, cause);
  } else if (queue_.Empty() && Unused().Covers(start.needed)) {
    SendStart(link, start);
  } else if (!queue_.HasPlaceFor(start)) {
    Refuse(link, start, "start queue is full");
  } else {
    Enqueue(link, start);
    StartQueued();
  }
}

void run_controller::Refuse(link_id link, const run_start& start,
                            const char* cause) {
  refused_.Add();
  log_.Write("start_refused",
             {{"job", start.key.job.Value()},
              {"step", start.key.step},
              {"index", start.key.index},
              {"run", start.key.run},
              {"endpoint", endpoint_.id.Value()},
              {"cause", cause},
              {"used_cpu_milli", used_.cpu_milli},
              {"waiting_cpu_milli", queue_.CpuMilli()},
              {"lease_age_ms",
               Milliseconds(clock_.SteadyNow() - last_answered_renewal_)}});
  hooks_.on_end(link, {endpoint_.id, start.key, run_end_kind::not_run});
}

void run_controller::SendStart(link_id link, const run_start& start) {
  starts_.Add();
  used_ += start.needed;
  const steady_time now = clock_.SteadyNow();
  runs_.insert_or_assign(start.key,
                         active_run{link, start.needed, phase::starting, now,
                                    run_progress(now, start.estimate),
                                    endpoint_.incarnation, fence_});
  last_start_sent_ = now;
  NotifyChange();
  hooks_.start(endpoint_, start, fence_, kLease,
               [this, key = start.key, epoch = epoch_](start_reply reply) {
                 if (epoch == epoch_) OnStartReply(key, reply);
               });
}

void run_controller::Enqueue(link_id link, const run_start& start) {
  if (const auto last = queue_.Add(link, start)) {
    Refuse(last->link, last->start, "overtaken");
  }
  NotifyChange();
}

void run_controller::StartQueued() {
  while (Accepting()) {
    const auto next = queue_.TakeNext(Unused());
    if (!next) return;
    SendStart(next->link, next->start);
  }
}

void run_controller::RefuseAll(const std::vector<queued_start>& starts,
                               const char* cause) {
  for (const queued_start& queued : starts) {
    Refuse(queued.link, queued.start, cause);
  }
}

void run_controller::RefuseQueued(const char* cause) {
  RefuseAll(queue_.TakeAll(), cause);
}

resources run_controller::Unused() const {
  resources unused = endpoint_.total;
  unused -= used_;
  return unused;
}

const char* run_controller::Refusal(const run_start& start) const {
  if (evacuated_) return "evacuated";
  if (!Accepting()) return "not accepting";
  const auto now = static_cast<std::uint64_t>(
      Milliseconds(clock_.SteadyNow().time_since_epoch()));
  if (start.newest_timestamp.Value() + kMaxStartAge.count() < now) {
    return "start is too old";
  }
  if (start.service != endpoint_.service) return "service mismatch";
  if (runs_.contains(start.key)) return "known run";
  if (queue_.Contains(start.key)) return "known run";
  return endpoint_.total.Covers(start.needed)
             ? nullptr
             : "exceeds the total resources of the endpoint";
}

void run_controller::OnStartReply(const run_key& key, start_reply reply) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  switch (reply) {
    case start_reply::started:
      found->second.start_answered = true;
      if (found->second.state == phase::starting) {
        found->second.state = phase::running;
      }
      return;
    case start_reply::fenced:
      fence_ += kFenceIncrement;
      lease_established_ = false;
      End(key, run_end_kind::not_run);
      return;
    case start_reply::refused:
      End(key, run_end_kind::not_run);
      return;
    case start_reply::superseded:
      End(key, run_end_kind::superseded);
      return;
    case start_reply::unanswered:
      break;
  }
  unanswered_.Add();
  // The start may still arrive at the endpoint. Once the endpoint has
  // acknowledged a stop of this run, it does not execute a late start.
  if (found->second.state == phase::starting) BeginStop(key);
}

void run_controller::Stop(link_id link, const run_key& key) {
  if (queue_.Remove(key, std::nullopt)) NotifyChange();
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    hooks_.on_end(link, {endpoint_.id, key, run_end_kind::stopped});
    return;
  }
  BeginStop(key);
}

void run_controller::Withdraw(link_id link, const run_key& key) {
  if (!queue_.Remove(key, link)) return;
  hooks_.on_end(link, {endpoint_.id, key, run_end_kind::not_run});
  NotifyChange();
}

void run_controller::OnLinkClosed(link_id link) {
  queue_.RemoveLink(link);
  std::vector<run_key> keys;
  for (const auto& [key, run] : runs_) {
    if (run.link == link) keys.push_back(key);
  }
  for (const run_key& key : keys) BeginStop(key);
}

void run_controller::BeginStop(const run_key& key) {
  active_run& run = runs_.at(key);
  if (run.state == phase::stopping) return;
  run.state = phase::stopping;
  SendStop(key);
}

void run_controller::SendStop(const run_key& key) {
  active_run& run = runs_.at(key);
  run.stop_in_flight = true;
  run.stop_sent = clock_.SteadyNow();
  hooks_.stop(endpoint_, key, fence_,
              [this, key, epoch = epoch_](bool acknowledged) {
                const auto found = runs_.find(key);
                if (epoch != epoch_ || found == runs_.end()) return;
                found->second.stop_in_flight = false;
                if (acknowledged && !found->second.stop_acknowledged) {
                  found->second.stop_acknowledged = clock_.SteadyNow();
                }
              });
}

void run_controller::Tick() {
  const steady_time now = clock_.SteadyNow();
  std::vector<run_key> stops_to_retry;
  for (const auto& [key, run] : runs_) {
    if (run.state == phase::stopping && !run.stop_in_flight &&
        !run.stop_acknowledged && now - run.stop_sent >= kStopRetryPeriod) {
      stops_to_retry.push_back(key);
    }
  }
  for (const run_key& key : stops_to_retry) SendStop(key);
  const bool silent = now - last_answered_renewal_ >= kLeaseExtensionTimeout;
  if ((lease_established_ || !runs_.empty()) && silent &&
      now >= LeaseExpiry()) {
    LoseAllRuns("lease expired without an answer from the endpoint");
  }
  const std::vector<queued_start> timed_out = queue_.TakeTimedOut();
  RefuseAll(timed_out, "no resources became free in time");
  if (!timed_out.empty()) NotifyChange();
  // A replaced connection pool never reports the result of its last renewal.
  if (renewal_in_flight_ && now - renewal_sent_ >= kRenewalTimeout) {
    renewal_in_flight_ = false;
    renewal_lost_ = true;
  }
  if (!renewal_in_flight_) Renew();
}

void run_controller::Renew() {
  if (renewal_in_flight_ || (!present_ && runs_.empty())) return;
  const steady_time now = clock_.SteadyNow();
  lease_renewal renewal{fence_, last_acknowledged_end_, std::nullopt,
                        kRenewalWait};
  // A new incarnation is to be detected at once, and numbers its ends anew.
  if (renewal_lost_) {
    renewal.wait = milliseconds(0);
    renewal.acknowledged = 0;
  }
  // The lists are needed at once, unless runs are known that have to end first.
  if (!lease_established_ && !foreign_runs_listed_) {
    renewal.wait = milliseconds(0);
  }
  if (lease_established_ &&
      now - last_answered_renewal_ < kLeaseExtensionTimeout) {
    renewal.lease = kLease;
    last_lease_renewal_ = now;
  }
  renewal_in_flight_ = true;
  renewal_sent_ = now;
  hooks_.renew(endpoint_, renewal,
               [this, sent = sent_renewal{now, fence_},
                epoch = epoch_](const auto& reply) {
                 if (epoch != epoch_) return;
                 renewal_in_flight_ = false;
                 OnRenewal(sent, reply);
               });
}

void run_controller::OnRenewal(const sent_renewal& sent,
                               const std::optional<lease_reply>& reply) {
  renewal_lost_ = !reply;
  // Retried by Tick, so that an endpoint that refuses is not called again
  // immediately.
  if (!reply) return;
  if (reply->incarnation > endpoint_.incarnation) {
    OnRestart("endpoint answered with a newer incarnation");
    endpoint_.incarnation = reply->incarnation;
    endpoint_.sequence = 0;
    announced_ = false;
    Renew();
    return;
  }
  if (reply->incarnation < endpoint_.incarnation) return;
  if (reply->fenced) {
    fence_ += kFenceIncrement;
    lease_established_ = false;
    log_.Write("fence_raised",
               {{"endpoint", endpoint_.id.Value()}, {"fence", fence_}});
    return;
  }
  const bool accepted = Accepting();
  last_answered_renewal_ = sent.at;
  restart_detected_.reset();
  ProcessEnded(*reply);
  ProcessRunning(sent, *reply);
  if (!foreign_runs_listed_) lease_established_ = true;
  if (!Accepting()) RefuseQueued("not accepting");
  if (accepted != Accepting()) NotifyChange();
  Renew();
}

void run_controller::ProcessEnded(const lease_reply& reply) {
  for (const listed_end& end : reply.ended) {
    if (end.sequence <= last_acknowledged_end_) continue;
    last_acknowledged_end_ = end.sequence;
    if (end.key) End(*end.key, end.kind);
  }
}

void run_controller::ProcessRunning(const sent_renewal& sent,
                                    const lease_reply& reply) {
  foreign_runs_listed_ = false;
  std::set<run_key> listed;
  for (const listed_run& run : reply.running) {
    if (!run.key) {
      foreign_runs_listed_ = true;
      continue;
    }
    listed.insert(*run.key);
    const auto found = runs_.find(*run.key);
    if (found == runs_.end()) {
      foreign_runs_listed_ = true;
      StopForeignRun(*run.key);
      continue;
    }
    found->second.listed = true;
    if (found->second.state == phase::starting) {
      found->second.state = phase::running;
    }
    if (run.percent) found->second.progress.Update(*run.percent, sent.at);
  }
  StopStalledRuns();
  EndAbsentRuns(sent, listed);
}

void run_controller::EndAbsentRuns(const sent_renewal& sent,
                                   const std::set<run_key>& listed) {
  // A run in neither list does not run. It cannot start any more if its stop
  // was acknowledged before this renewal was sent, or if the endpoint has seen
  // a higher fencing token than that of its start.
  std::vector<std::pair<run_key, run_end_kind>> absent;
  for (const auto& [key, run] : runs_) {
    if (listed.contains(key)) continue;
    if (run.fence < sent.fence) {
      LogLostRun(key, run);
      absent.emplace_back(key, run_end_kind::lost);
    } else if (run.stop_acknowledged && *run.stop_acknowledged < sent.at) {
      absent.emplace_back(key, run_end_kind::stopped);
    }
  }
  for (const auto& [key, kind] : absent) End(key, kind);
}

void run_controller::StopStalledRuns() {
  std::vector<run_key> stalled;
  for (const auto& [key, run] : runs_) {
    if (run.state != phase::running || !run.progress.Stalled()) continue;
    stalled.push_back(key);
    stalled_runs_.Add();
    log_.Write("run_stalled",
               {{"job", key.job.Value()},
                {"step", key.step},
                {"index", key.index},
                {"run", key.run},
                {"endpoint", endpoint_.id.Value()},
                {"percent", run.progress.Percent()},
                {"age_ms", Milliseconds(clock_.SteadyNow() - run.start_sent)}});
  }
  for (const run_key& key : stalled) BeginStop(key);
}

void run_controller::StopForeignRun(const run_key& key) {
  if (!stopping_foreign_.insert(key).second) return;
  log_.Write("unknown_run_stopped", {{"job", key.job.Value()},
                                     {"step", key.step},
                                     {"index", key.index},
                                     {"run", key.run},
                                     {"endpoint", endpoint_.id.Value()}});
  hooks_.stop(endpoint_, key, fence_, [this, key](bool /*acknowledged*/) {
    stopping_foreign_.erase(key);
  });
}

void run_controller::End(const run_key& key, run_end_kind kind) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  const active_run run = found->second;
  runs_.erase(found);
  used_ -= run.needed;
  hooks_.on_end(run.link, {endpoint_.id, key, kind,
                           std::chrono::duration_cast<milliseconds>(
                               clock_.SteadyNow() - run.start_sent)});
  StartQueued();
  NotifyChange();
}

void run_controller::LoseAllRuns(const char* cause) {
  LogLoss(cause);
  InvalidateCalls();
  while (!runs_.empty()) {
    const auto [key, run] = *runs_.begin();
    LogLostRun(key, run);
    End(key, run_end_kind::lost);
  }
  NotifyChange();
}

void run_controller::OnRestart(const char* cause) {
  LogLoss(cause);
  InvalidateCalls();
  last_acknowledged_end_ = 0;
  restart_detected_ = clock_.SteadyNow();
  std::vector<run_key> ended;
  for (auto& [key, run] : runs_) {
    if (run.listed) {
      LogLostRun(key, run);
      ended.push_back(key);
      continue;
    }
    run.stop_in_flight = false;
    run.stop_acknowledged.reset();
  }
  for (const run_key& key : ended) End(key, run_end_kind::lost);
  NotifyChange();
}

void run_controller::InvalidateCalls() {
  ++epoch_;
  ++fence_;
  lease_established_ = false;
  renewal_in_flight_ = false;
  renewal_lost_ = true;
  restart_detected_.reset();
  RefuseQueued("endpoint lost");
  stopping_foreign_.clear();
}

void run_controller::LogLoss(const char* cause) {
  endpoint_losses_.Add();
  log_.Write(
      "endpoint_lost",
      {{"endpoint", endpoint_.id.Value()},
       {"incarnation", endpoint_.incarnation},
       {"cause", cause},
       {"runs", runs_.size()},
       {"answer_age_ms",
        Milliseconds(clock_.SteadyNow() - last_answered_renewal_)},
       {"renewal_age_ms",
        Milliseconds(clock_.SteadyNow() - last_lease_renewal_)},
       {"start_age_ms", Milliseconds(clock_.SteadyNow() - last_start_sent_)},
       {"lease_ms", kLease.count()}});
}

void run_controller::LogLostRun(const run_key& key, const active_run& run) {
  log_.Write("run_lost",
             {{"job", key.job.Value()},
              {"step", key.step},
              {"index", key.index},
              {"run", key.run},
              {"endpoint", endpoint_.id.Value()},
              {"incarnation", run.incarnation},
              {"start_answered", run.start_answered},
              {"listed", run.listed},
              {"stopping", run.state == phase::stopping},
              {"age_ms", Milliseconds(clock_.SteadyNow() - run.start_sent)}});
}

steady_time run_controller::LeaseExpiry() const {
  if (restart_detected_) return *restart_detected_ + kMaxLeaseExpiryTimeout;
  return std::max(last_lease_renewal_, last_start_sent_) + kLeaseExpiryTimeout;
}

bool run_controller::Accepting() const {
  return present_ && announced_ && lease_established_ &&
         !foreign_runs_listed_ && !endpoint_.leaving && !draining_ &&
         !evacuated_ &&
         clock_.SteadyNow() - last_answered_renewal_ < kLeaseExtensionTimeout;
}

endpoint_state run_controller::State() const {
  endpoint_state state;
  state.endpoint = endpoint_.id;
  state.service = endpoint_.service;
  state.data_centre = endpoint_.data_centre;
  state.total = endpoint_.total;
  state.unused = Unused();
  state.unused.cpu_milli -= queue_.CpuMilli();
  state.waiting = static_cast<std::uint32_t>(queue_.Size());
  state.waiting_priority = queue_.LowestPriority();
  state.accepting = Accepting();
  state.cold_left = std::chrono::ceil<milliseconds>(
      std::max(duration(), cold_until_ - clock_.SteadyNow()));
  state.timestamp = agent_timestamp(static_cast<std::uint64_t>(
      Milliseconds(clock_.SteadyNow().time_since_epoch())));
  return state;
}

bool run_controller::HasRuns(link_id link) const {
  return queue_.HasLink(link) ||
         std::any_of(runs_.begin(), runs_.end(), [link](const auto& entry) {
           return entry.second.link == link;
         });
}

void run_controller::NotifyChange() {
  if (hooks_.on_change) hooks_.on_change();
}

}  // namespace almond
