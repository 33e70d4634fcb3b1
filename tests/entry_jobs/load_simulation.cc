#include "entry_jobs/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace almond {
namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kStateDelay{2};
constexpr milliseconds kStatePeriod{150};
/// Standard deviation of the logarithm of the task times within a job.
constexpr double kTaskSpread = 0.15;
/// Duration of a call to an endpoint, including its answer.
constexpr std::chrono::microseconds kCallTime{400};

void DiscardOutput(const std::string& /*line*/) {}

double Ms(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

duration FromMs(double time) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(time));
}

link_id LinkOf(std::size_t node) { return link_id(node + 1); }
std::size_t NodeOf(link_id link) { return link.Value() - 1; }

load_kind MakeKind(const char* name, double share, std::uint32_t width,
                   milliseconds work, std::uint32_t priority,
                   std::int64_t cpu_milli) {
  load_kind kind;
  kind.rule.name = std::string(name);
  kind.rule.service = service_id("s");
  kind.rule.max_attempts = 3;
  kind.rule.stretch = 1.6;
  kind.rule.slack = milliseconds(60);
  kind.rule.priority = priority;
  kind.share = share;
  kind.width = width;
  kind.work = work;
  kind.cpu_milli = cpu_milli;
  return kind;
}

}  // namespace

std::vector<load_kind> MixedLoad(std::int64_t cpu_milli) {
  return {MakeKind("short", 0.245, 8, milliseconds(51), 0, cpu_milli),
          MakeKind("long", 0.044, 4, milliseconds(760), 2, cpu_milli),
          MakeKind("narrow", 0.711, 2, milliseconds(170), 1, cpu_milli)};
}

std::vector<load_kind> UnevenLoad(std::int64_t cpu_milli) {
  std::vector<load_kind> kinds = MixedLoad(cpu_milli);
  kinds[0].work = milliseconds(60);
  kinds[1].work = milliseconds(900);
  kinds[2].work = milliseconds(200);
  for (load_kind& kind : kinds) {
    kind.width_spread = 0.4;
    kind.cpu_spread = 0.2;
  }
  return kinds;
}

struct load_simulation::entry_node {
  entry_node(std::size_t number, load_simulation& owner)
      : random(owner.random_()),
        log(owner.clock_, "entry", DiscardOutput),
        pool(owner.clock_, random, owner.DataCentre(number)),
        jobs(owner.clock_, log, metrics, pool,
             {[number, &owner](link_id link, const entry_run_message& message) {
               owner.SendToAgent(number, link, message);
             }}) {}

  std::mt19937_64 random;
  metrics_registry metrics;
  decision_log log;
  endpoint_pool pool;
  parallel_job_controller jobs;
};

struct load_simulation::agent_node {
  using renewal_reply = std::function<void(const std::optional<lease_reply>&)>;

  agent_node(std::size_t number, load_simulation& owner)
      : log(owner.clock_, "agent", DiscardOutput),
        runs(owner.clock_, log, metrics, 1, Hooks(number, owner)) {}

  run_controller::hooks Hooks(std::size_t number, load_simulation& owner) {
    run_controller::hooks hooks;
    hooks.start = [number, &owner](const leased_endpoint&,
                                   const run_start& start, std::uint64_t,
                                   milliseconds, auto reply) {
      owner.At(owner.clock_.SteadyNow() + kCallTime, [=, &owner] {
        owner.BeginRun(number, start);
        reply(start_reply::started);
      });
    };
    hooks.stop = [number, &owner](const leased_endpoint&, const run_key& key,
                                  std::uint64_t, auto reply) {
      owner.At(owner.clock_.SteadyNow() + kCallTime, [=, &owner] {
        owner.EndRun(number, key, run_end_kind::stopped);
        reply(true);
      });
    };
    hooks.renew = [this, number, &owner](const leased_endpoint&,
                                         const lease_renewal& renewal,
                                         auto reply) {
      std::erase_if(ended, [&renewal](const listed_end& end) {
        return end.sequence <= renewal.acknowledged;
      });
      waiting_renewal = reply;
      const std::uint64_t call = ++renewals;
      const duration wait = ended.empty() ? duration(renewal.wait) : duration();
      owner.At(owner.clock_.SteadyNow() + wait + kCallTime, [=, this, &owner] {
        if (call == renewals) owner.AnswerRenewal(number);
      });
    };
    hooks.on_end = [number, &owner](link_id link, const run_end& end) {
      ++owner.messages_;
      owner.At(
          owner.clock_.SteadyNow() + owner.MessageTime(NodeOf(link), number),
          [=, &owner] {
            owner.entries_[NodeOf(link)]->jobs.OnRunEnd(LinkOf(number), end);
          });
    };
    hooks.on_change = [this, number, &owner] {
      if (std::exchange(states_due, true)) return;
      owner.At(owner.clock_.SteadyNow() + kStateDelay,
               [=, &owner] { owner.SendStates(number); });
    };
    return hooks;
  }

  metrics_registry metrics;
  decision_log log;
  std::map<link_id, std::uint64_t> orders_seen;
  bool states_due = false;
  struct run {
    steady_time since;
    std::int64_t cpu_milli = 0;
    duration time{};
  };
  std::map<run_key, run> running;
  std::vector<listed_end> ended;
  std::uint64_t last_end = 0;
  std::uint64_t renewals = 0;
  renewal_reply waiting_renewal;
  run_controller runs;
};

load_simulation::load_simulation(std::uint64_t seed, settings chosen,
                                 std::vector<load_kind> kinds)
    : random_(seed),
      settings_(std::move(chosen)),
      kinds_(std::move(kinds)),
      results_(kinds_.size()) {
  for (std::size_t i = 0; i < settings_.entries; ++i) {
    entries_.push_back(std::make_unique<entry_node>(i, *this));
  }
  for (std::size_t i = 0; i < settings_.endpoints; ++i) {
    agents_.push_back(std::make_unique<agent_node>(i, *this));
    leased_endpoint endpoint;
    endpoint.id = endpoint_id("e" + std::to_string(i));
    endpoint.service = service_id("s");
    endpoint.incarnation = 1;
    endpoint.sequence = 1;
    endpoint.total = {CpuMilli(i), 1'000'000, 0};
    agents_.back()->runs.OnAnnouncement(endpoint);
  }
  TickAll();
  RunIdle(std::chrono::seconds(1));
  ResetResults();
}

load_simulation::~load_simulation() = default;

void load_simulation::RunLoad(duration time, double load) {
  double work = 0;
  std::vector<double> shares;
  for (const load_kind& kind : kinds_) {
    shares.push_back(kind.share);
    // Accounts for the means of the log-normal spreads.
    work += kind.share * kind.width * kind.work.count() * kind.cpu_milli / 1e3 *
            std::exp((kind.width_spread * kind.width_spread +
                      kind.cpu_spread * kind.cpu_spread) /
                     2);
  }
  std::discrete_distribution<std::size_t> choose(shares.begin(), shares.end());
  // Accounts for the means of the log-normal spreads and for the tasks in the
  // tail.
  work *= std::exp(settings_.spread * settings_.spread / 2) *
          std::exp(kTaskSpread * kTaskSpread / 2) *
          (1 + settings_.tail * (kTailFactor - 1));
  std::exponential_distribution<double> interarrival(load * Capacity() / work);
  const steady_time end = clock_.SteadyNow() + time;
  for (steady_time next = clock_.SteadyNow() + FromMs(interarrival(random_));
       next < end; next += FromMs(interarrival(random_))) {
    At(next, [this, kind = choose(random_)] { SubmitJob(kind); });
  }
  RunUntil(end);
}

void load_simulation::ResetResults() {
  ++measurement_;
  measurement_start_ = clock_.SteadyNow();
  used_core_ms_ = 0;
  wasted_core_ms_ = 0;
  messages_ = 0;
  started_before_ = Started();
  results_.assign(kinds_.size(), result());
}

double load_simulation::Utilisation() const {
  return used_core_ms_ /
         (Capacity() * Ms(clock_.SteadyNow() - measurement_start_));
}

double load_simulation::Capacity() const {
  double capacity = 0;
  for (std::size_t i = 0; i < settings_.endpoints; ++i) {
    capacity += static_cast<double>(CpuMilli(i)) / 1e3 * Speed(i);
  }
  return capacity;
}

double load_simulation::Speed(std::size_t agent) const {
  return settings_.speeds[agent % settings_.speeds.size()];
}

std::int64_t load_simulation::CpuMilli(std::size_t agent) const {
  return static_cast<std::int64_t>(
      static_cast<double>(settings_.endpoint_cpu_milli) *
      settings_.sizes[agent % settings_.sizes.size()]);
}

double load_simulation::RefusedStarts() const {
  double refused = 0;
  for (const auto& agent : agents_) {
    refused += static_cast<double>(
        agent->metrics.Counter("almond_agent_run_refusals_total").Value());
  }
  return refused / Started();
}

double load_simulation::MessagesPerStart() const {
  return static_cast<double>(messages_) / (Started() - started_before_);
}

double load_simulation::Started() const {
  double started = 0;
  for (const auto& agent : agents_) {
    started += static_cast<double>(
        agent->metrics.Counter("almond_agent_run_starts_total").Value());
  }
  return started;
}

void load_simulation::SetEvacuationsAtEntries(const evacuation_list& list,
                                              std::size_t first) {
  for (std::size_t i = first; i < entries_.size(); ++i) {
    entries_[i]->pool.SetEvacuations(list);
    entries_[i]->jobs.OnEvacuations();
  }
}

void load_simulation::SetEvacuationsAtAgents(const evacuation_list& list) {
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    agents_[i]->runs.SetEvacuated(list.Contains(DataCentre(i)));
  }
}

std::uint64_t load_simulation::StartedIn(std::size_t data_centre) const {
  std::uint64_t started = 0;
  for (std::size_t i = data_centre; i < agents_.size();
       i += settings_.data_centres) {
    started +=
        agents_[i]->metrics.Counter("almond_agent_run_starts_total").Value();
  }
  return started;
}

data_centre_id load_simulation::DataCentre(std::size_t node) const {
  return data_centre_id("d" + std::to_string(node % settings_.data_centres));
}

duration load_simulation::MessageTime(std::size_t entry,
                                      std::size_t agent) const {
  return DataCentre(entry) == DataCentre(agent) ? settings_.message_time
                                                : settings_.remote_message_time;
}

std::size_t load_simulation::ChooseEntry() {
  std::uniform_int_distribution<std::size_t> any(0, entries_.size() - 1);
  if (settings_.callers.empty()) return any(random_);
  std::discrete_distribution<std::size_t> choose(settings_.callers.begin(),
                                                 settings_.callers.end());
  const std::size_t data_centre = choose(random_);
  std::size_t entry = any(random_);
  while (entry % settings_.data_centres != data_centre) entry = any(random_);
  return entry;
}

void load_simulation::At(steady_time when, std::function<void()> action) {
  events_.emplace(when, std::move(action));
}

void load_simulation::RunUntil(steady_time end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto next = events_.extract(events_.begin());
    if (next.key() > clock_.SteadyNow()) {
      clock_.Advance(next.key() - clock_.SteadyNow());
    }
    next.mapped()();
  }
  clock_.Advance(end - clock_.SteadyNow());
}

void load_simulation::TickAll() {
  for (const auto& entry : entries_) entry->jobs.Tick();
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    agents_[i]->runs.Tick();
    if (clock_.SteadyNow().time_since_epoch() % kStatePeriod < kTick) {
      SendStates(i);
    }
  }
  At(clock_.SteadyNow() + kTick, [this] { TickAll(); });
}

void load_simulation::SubmitJob(std::size_t number) {
  const load_kind& kind = kinds_[number];
  const milliseconds work(static_cast<std::int64_t>(
      1 + static_cast<double>(kind.work.count()) * Spread(settings_.spread)));
  job_request request;
  request.id = job_id(std::to_string(++last_job_));
  const milliseconds estimate(
      static_cast<std::int64_t>(1 + static_cast<double>(work.count()) *
                                        Spread(settings_.estimate_error)));
  const auto width = static_cast<std::uint32_t>(std::lround(std::clamp(
      kind.width * Spread(kind.width_spread), 1.0, kind.width * 4.0)));
  const auto cpu_milli =
      static_cast<std::int64_t>(static_cast<double>(kind.cpu_milli) *
                                std::min(Spread(kind.cpu_spread), 1.5));
  request.steps = {{width, {cpu_milli, 1, 0}, estimate, {}}};
  // The tasks of a job differ slightly; those in the tail take far longer.
  std::bernoulli_distribution tail(settings_.tail);
  std::vector<double>& tasks = work_[request.id];
  for (std::uint32_t i = 0; i < width; ++i) {
    tasks.push_back(static_cast<double>(work.count()) * Spread(kTaskSpread) *
                    (tail(random_) ? kTailFactor : 1));
  }
  const duration objective =
      FromMs(kind.rule.stretch * *std::max_element(tasks.begin(), tasks.end()) +
             Ms(kind.rule.slack));
  request.timeout =
      std::max(kCallerTime, std::chrono::ceil<milliseconds>(1.5 * objective));
  const bool wide = width > 1.5 * kind.width;
  ++results_[number].jobs;
  if (wide) ++results_[number].wide_jobs;
  entries_[ChooseEntry()]->jobs.Submit(
      kind.rule, request,
      [this, number, wide, objective, id = request.id,
       measurement = measurement_,
       arrived = clock_.SteadyNow()](const job_answer& answer) {
        const auto used = job_core_ms_.extract(id);
        if (measurement != measurement_) return;
        if (used && answer.outcome != job_outcome::complete) {
          wasted_core_ms_ += used.mapped();
        }
        CountAnswer(answer, number, wide, clock_.SteadyNow() - arrived,
                    objective);
      });
}

void load_simulation::CountAnswer(const job_answer& answer, std::size_t kind,
                                  bool wide, duration took,
                                  duration objective) {
  result& counted = results_[kind];
  if (answer.outcome == job_outcome::overloaded) ++counted.refused;
  if (answer.outcome != job_outcome::complete) return;
  if (took <= objective) {
    ++counted.in_time;
    if (wide) ++counted.wide_in_time;
  } else if (took <= 3 * objective) {
    ++counted.late;
  }
}

void load_simulation::SendToAgent(std::size_t entry, link_id link,
                                  const entry_run_message& message) {
  ++messages_;
  At(clock_.SteadyNow() + MessageTime(entry, NodeOf(link)), [=, this] {
    agent_node& agent = *agents_[NodeOf(link)];
    const link_id from = LinkOf(entry);
    if (const auto* stop = std::get_if<run_stop>(&message)) {
      agent.runs.Stop(from, stop->key);
    } else if (const auto* back = std::get_if<run_withdraw>(&message)) {
      agent.runs.Withdraw(from, back->key);
    } else {
      const auto& start = std::get<run_start>(message);
      agent.orders_seen[from] = start.order;
      agent.runs.Start(from, start);
    }
  });
}

void load_simulation::SendStates(std::size_t number) {
  agent_node& agent = *agents_[number];
  agent.states_due = false;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (settings_.linked && !settings_.linked(i, number)) continue;
    endpoint_state state = agent.runs.State();
    state.data_centre = DataCentre(number);
    state.orders_seen = agent.orders_seen[LinkOf(i)];
    ++messages_;
    At(clock_.SteadyNow() + MessageTime(i, number),
       [=, this] { entries_[i]->jobs.OnEndpointState(LinkOf(number), state); });
  }
}

void load_simulation::BeginRun(std::size_t number, const run_start& start) {
  const duration time =
      FromMs(work_.at(start.key.job).at(start.key.index) / Speed(number));
  agents_[number]->running[start.key] = {clock_.SteadyNow(),
                                         start.needed.cpu_milli, time};
  At(clock_.SteadyNow() + time,
     [=, this, key = start.key] { EndRun(number, key, run_end_kind::done); });
}

void load_simulation::EndRun(std::size_t number, const run_key& key,
                             run_end_kind kind) {
  agent_node& agent = *agents_[number];
  const auto found = agent.running.find(key);
  if (found == agent.running.end()) return;
  const steady_time since = std::max(found->second.since, measurement_start_);
  const double used = Ms(clock_.SteadyNow() - since) * Speed(number) *
                      static_cast<double>(found->second.cpu_milli) / 1e3;
  used_core_ms_ += used;
  if (kind == run_end_kind::done) {
    job_core_ms_[key.job] += used;
  } else {
    wasted_core_ms_ += used;
  }
  agent.running.erase(found);
  agent.ended.push_back({++agent.last_end, key, kind});
  if (agent.waiting_renewal) {
    ++agent.renewals;
    At(clock_.SteadyNow() + kCallTime, [=, this] { AnswerRenewal(number); });
  }
}

void load_simulation::AnswerRenewal(std::size_t number) {
  agent_node& agent = *agents_[number];
  if (!agent.waiting_renewal) return;
  lease_reply reply;
  reply.incarnation = 1;
  for (const auto& [key, run] : agent.running) {
    const double done = Ms(clock_.SteadyNow() - run.since) / Ms(run.time);
    reply.running.push_back({key, static_cast<std::uint32_t>(100 * done)});
  }
  reply.ended = agent.ended;
  std::exchange(agent.waiting_renewal, nullptr)(reply);
}

double load_simulation::Spread(double sigma) {
  if (sigma == 0) return 1;
  std::normal_distribution<double> normal(0, sigma);
  return std::exp(normal(random_));
}

}  // namespace almond
