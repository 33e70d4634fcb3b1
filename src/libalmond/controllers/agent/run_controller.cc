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
      starts_(metrics.Counter("almond_agent_run_starts_total")),
      refused_(metrics.Counter("almond_agent_run_refusals_total")),
      unanswered_(metrics.Counter("almond_agent_unanswered_orders_total")),
      losses_(metrics.Counter("almond_agent_endpoint_losses_total")),
      standing_still_(
          metrics.Counter("almond_agent_runs_standing_still_total")) {}

void run_controller::OnAnnouncement(const leased_endpoint& announced) {
  const bool newer_incarnation = announced.incarnation > endpoint_.incarnation;
  if (announced.incarnation < endpoint_.incarnation) return;
  if (!newer_incarnation && announced.sequence <= endpoint_.sequence) return;
  const bool changed = newer_incarnation || !present_ ||
                       announced.leaving != endpoint_.leaving ||
                       announced.total != endpoint_.total;
  if (newer_incarnation && endpoint_.incarnation != 0) {
    LoseAll("another life of the endpoint");
    acknowledged_ = 0;
  }
  endpoint_ = announced;
  present_ = true;
  if (!changed) return;
  log_.Write("endpoint", {{"endpoint", endpoint_.id.Value()},
                          {"incarnation", endpoint_.incarnation},
                          {"leaving", endpoint_.leaving},
                          {"cpu_milli", endpoint_.total.cpu_milli}});
  Renew();
  Changed();
}

void run_controller::OnDeparture() {
  if (!present_) return;
  LoseAll("the endpoint has left");
  present_ = false;
  Changed();
}

void run_controller::Start(link_id link, const run_start& start) {
  if (const char* cause = Refusal(start)) {
    Refuse(link, start, cause);
  } else if (waiting_.empty() && Unused().Covers(start.needed)) {
    Order(link, start);
  } else if (waiting_.size() >= kMaxWaiting &&
             start.priority >= waiting_.back().start.priority) {
    Refuse(link, start, "no room");
  } else {
    Wait(link, start);
    StartWaiting();
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
              {"waiting_cpu_milli", waiting_cpu_milli_},
              {"lease_age_ms", Milliseconds(clock_.SteadyNow() - answered_)}});
  hooks_.on_end(link, {endpoint_.id, start.key, run_end_kind::not_run});
}

void run_controller::Order(link_id link, const run_start& start) {
  starts_.Add();
  used_ += start.needed;
  const steady_time now = clock_.SteadyNow();
  runs_.insert_or_assign(start.key,
                         active_run{link, start.needed, phase::starting, now,
                                    run_progress(now, start.estimate)});
  Changed();
  hooks_.start(endpoint_, start, fence_, kLease,
               [this, key = start.key, epoch = epoch_](start_reply reply) {
                 if (epoch == epoch_) OnStartReply(key, reply);
               });
}

void run_controller::Wait(link_id link, const run_start& start) {
  waiting_.push_back({link, start, clock_.SteadyNow()});
  waiting_cpu_milli_ += start.needed.cpu_milli;
  SortWaiting();
  if (waiting_.size() > kMaxWaiting) {
    const waiting_order last = std::move(waiting_.back());
    waiting_.pop_back();
    waiting_cpu_milli_ -= last.start.needed.cpu_milli;
    Refuse(last.link, last.start, "overtaken");
  }
  Changed();
}

void run_controller::SortWaiting() {
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [now = clock_.SteadyNow()](const waiting_order& left,
                                              const waiting_order& right) {
                     return left.Rank(now) < right.Rank(now);
                   });
}

void run_controller::StartWaiting() {
  SortWaiting();
  while (!waiting_.empty() && Accepting() &&
         Unused().Covers(waiting_.front().start.needed)) {
    const waiting_order next = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    waiting_cpu_milli_ -= next.start.needed.cpu_milli;
    Order(next.link, next.start);
  }
}

void run_controller::RefuseWaiting(const char* cause) {
  const std::vector<waiting_order> refused = std::exchange(waiting_, {});
  waiting_cpu_milli_ = 0;
  for (const waiting_order& order : refused) {
    Refuse(order.link, order.start, cause);
  }
}

resources run_controller::Unused() const {
  resources unused = endpoint_.total;
  unused -= used_;
  return unused;
}

const char* run_controller::Refusal(const run_start& start) const {
  if (!Accepting()) return "not accepting";
  const auto now = static_cast<std::uint64_t>(
      Milliseconds(clock_.SteadyNow().time_since_epoch()));
  if (start.newest_timestamp.Value() + kMaxOrderAge.count() < now) {
    return "old order";
  }
  if (start.service != endpoint_.service) return "other service";
  if (runs_.contains(start.key)) return "known run";
  const bool waits = std::any_of(
      waiting_.begin(), waiting_.end(),
      [&start](const auto& order) { return order.start.key == start.key; });
  if (waits) return "known run";
  return endpoint_.total.Covers(start.needed) ? nullptr : "too large";
}

void run_controller::OnStartReply(const run_key& key, start_reply reply) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  switch (reply) {
    case start_reply::started:
      if (found->second.state == phase::starting) {
        found->second.state = phase::running;
      }
      return;
    case start_reply::fenced:
      fence_ += kFenceStep;
      established_ = false;
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
  // An acknowledged stop makes sure that the order is not carried out later.
  if (found->second.state == phase::starting) BeginStop(key);
}

void run_controller::Stop(link_id link, const run_key& key) {
  const auto removed = std::erase_if(waiting_, [&](const auto& order) {
    if (order.start.key != key) return false;
    waiting_cpu_milli_ -= order.start.needed.cpu_milli;
    return true;
  });
  if (removed > 0) Changed();
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    hooks_.on_end(link, {endpoint_.id, key, run_end_kind::stopped});
    return;
  }
  BeginStop(key);
}

void run_controller::Withdraw(link_id link, const run_key& key) {
  const auto removed = std::erase_if(waiting_, [&](const auto& order) {
    if (order.start.key != key || order.link != link) return false;
    waiting_cpu_milli_ -= order.start.needed.cpu_milli;
    return true;
  });
  if (removed == 0) return;
  hooks_.on_end(link, {endpoint_.id, key, run_end_kind::not_run});
  Changed();
}

void run_controller::OnLinkClosed(link_id link) {
  std::erase_if(waiting_, [&](const auto& order) {
    if (order.link != link) return false;
    waiting_cpu_milli_ -= order.start.needed.cpu_milli;
    return true;
  });
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
  std::vector<run_key> unstopped;
  for (const auto& [key, run] : runs_) {
    if (run.state == phase::stopping && !run.stop_in_flight &&
        !run.stop_acknowledged && now - run.stop_sent >= kStopRetry) {
      unstopped.push_back(key);
    }
  }
  for (const run_key& key : unstopped) SendStop(key);
  const bool silent = now - answered_ >= kSilenceLimit;
  if (established_ && silent && now - extended_ >= kAllEnded) {
    LoseAll("no answer for longer than the lease");
  }
  std::vector<waiting_order> late;
  std::erase_if(waiting_, [&](const waiting_order& order) {
    if (now - order.arrived < kMaxWait) return false;
    waiting_cpu_milli_ -= order.start.needed.cpu_milli;
    late.push_back(order);
    return true;
  });
  for (const waiting_order& order : late) {
    Refuse(order.link, order.start, "waited for room");
  }
  if (!late.empty()) Changed();
  // A renewal whose answer never comes back ends with its connection pool.
  if (now - renewed_ >= kRenewalLost) renewal_in_flight_ = false;
  if (present_ && !renewal_in_flight_) Renew();
}

void run_controller::Renew() {
  if (renewal_in_flight_ || !present_) return;
  const steady_time now = clock_.SteadyNow();
  lease_renewal renewal{fence_, acknowledged_, std::nullopt, kRenewalWait};
  if (!established_) renewal.wait = milliseconds(0);
  if (!established_ || now - answered_ < kSilenceLimit) {
    renewal.lease = kLease;
    extended_ = now;
  }
  renewal_in_flight_ = true;
  renewed_ = now;
  hooks_.renew(endpoint_, renewal,
               [this, now, epoch = epoch_](const auto& reply) {
                 renewal_in_flight_ = false;
                 if (epoch == epoch_) OnRenewal(now, reply);
               });
}

void run_controller::OnRenewal(steady_time sent,
                               const std::optional<lease_reply>& reply) {
  // Tick tries again, so that an endpoint that refuses is not called at once.
  if (!reply) return;
  if (reply->incarnation > endpoint_.incarnation) {
    LoseAll("answer of another life of the endpoint");
    endpoint_.incarnation = reply->incarnation;
    endpoint_.sequence = 0;
    acknowledged_ = 0;
    return;
  }
  if (reply->incarnation < endpoint_.incarnation) return;
  if (reply->fenced) {
    fence_ += kFenceStep;
    established_ = false;
    log_.Write("fence_raised",
               {{"endpoint", endpoint_.id.Value()}, {"fence", fence_}});
    return;
  }
  const bool accepted = Accepting();
  answered_ = sent;
  established_ = true;
  TakeEnds(*reply);
  TakeRunning(sent, *reply);
  if (!Accepting()) RefuseWaiting("not accepting");
  if (accepted != Accepting()) Changed();
  Renew();
}

void run_controller::TakeEnds(const lease_reply& reply) {
  for (const listed_end& end : reply.ended) {
    if (end.sequence <= acknowledged_) continue;
    acknowledged_ = end.sequence;
    if (end.key) End(*end.key, end.kind);
  }
}

void run_controller::TakeRunning(steady_time sent, const lease_reply& reply) {
  foreign_ = false;
  std::set<run_key> listed;
  for (const listed_run& run : reply.running) {
    if (!run.key) {
      foreign_ = true;
      continue;
    }
    listed.insert(*run.key);
    const auto found = runs_.find(*run.key);
    if (found == runs_.end()) {
      foreign_ = true;
      StopForeign(*run.key);
      continue;
    }
    if (found->second.state == phase::starting) {
      found->second.state = phase::running;
    }
    if (run.percent) found->second.progress.Seen(*run.percent, sent);
  }
  StopStandingStill();
  // A run that was stopped before this list was asked for and that is in
  // neither list has never begun and never will.
  std::vector<run_key> never_begun;
  for (const auto& [key, run] : runs_) {
    if (run.stop_acknowledged && *run.stop_acknowledged < sent &&
        !listed.contains(key)) {
      never_begun.push_back(key);
    }
  }
  for (const run_key& key : never_begun) End(key, run_end_kind::stopped);
}

void run_controller::StopStandingStill() {
  std::vector<run_key> still;
  for (const auto& [key, run] : runs_) {
    if (run.state != phase::running || !run.progress.StandsStill()) continue;
    still.push_back(key);
    standing_still_.Add();
    log_.Write("run_stalled",
               {{"job", key.job.Value()},
                {"step", key.step},
                {"index", key.index},
                {"run", key.run},
                {"endpoint", endpoint_.id.Value()},
                {"percent", run.progress.Percent()},
                {"age_ms", Milliseconds(clock_.SteadyNow() - run.ordered)}});
  }
  for (const run_key& key : still) BeginStop(key);
}

void run_controller::StopForeign(const run_key& key) {
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
                               clock_.SteadyNow() - run.ordered)});
  StartWaiting();
  Changed();
}

void run_controller::LoseAll(const char* cause) {
  losses_.Add();
  log_.Write("endpoint_lost",
             {{"endpoint", endpoint_.id.Value()},
              {"cause", cause},
              {"runs", runs_.size()},
              {"answer_age_ms", Milliseconds(clock_.SteadyNow() - answered_)}});
  ++epoch_;
  // Orders without an answer may still arrive; the endpoint refuses them once
  // it has seen a higher token.
  ++fence_;
  established_ = false;
  renewal_in_flight_ = false;
  RefuseWaiting("endpoint lost");
  stopping_foreign_.clear();
  while (!runs_.empty()) End(run_key(runs_.begin()->first), run_end_kind::lost);
  Changed();
}

bool run_controller::Accepting() const {
  return present_ && established_ && !foreign_ && !endpoint_.leaving &&
         !agent_leaving_ && clock_.SteadyNow() - answered_ < kSilenceLimit;
}

endpoint_state run_controller::State() const {
  endpoint_state state;
  state.endpoint = endpoint_.id;
  state.service = endpoint_.service;
  state.data_centre = endpoint_.data_centre;
  state.total = endpoint_.total;
  state.unused = Unused();
  state.unused.cpu_milli -= waiting_cpu_milli_;
  state.waiting = static_cast<std::uint32_t>(waiting_.size());
  for (const waiting_order& order : waiting_) {
    state.waiting_priority =
        std::max(state.waiting_priority, order.start.priority);
  }
  state.accepting = Accepting();
  state.timestamp = agent_timestamp(static_cast<std::uint64_t>(
      Milliseconds(clock_.SteadyNow().time_since_epoch())));
  return state;
}

void run_controller::Changed() {
  if (hooks_.on_change) hooks_.on_change();
}

}  // namespace almond
