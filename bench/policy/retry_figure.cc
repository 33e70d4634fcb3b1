#include "bench/policy/retry_figure.h"

#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/policy/retry_client.h"
#include "bench/policy/run_result.h"

namespace almond::bench {
namespace {

using std::chrono::seconds;

constexpr std::size_t kClients = 500;
constexpr seconds kSlowFrom{10};
constexpr seconds kSlowUntil{30};
constexpr seconds kSendUntil{60};
constexpr seconds kTimeout{5};
/// A task with a longer run time fails after this time.
constexpr milliseconds kAttemptTimeout{500};
constexpr milliseconds kSamplePeriod{100};
constexpr std::size_t kSamplesPerSecond = 10;

/// A fault of some or all endpoints.
struct slowdown {
  std::string name;
  std::size_t endpoints = 0;  ///< number of affected endpoints
  double failing = 0;         ///< share of their tasks that fail
  double slower = 1;          ///< factor on their run time
  /// Failing tasks end after 1 ms, else after their run time.
  bool fails_fast = true;
};

struct retry_result {
  std::uint64_t starts = 0;   ///< task starts during the slowdown
  std::uint64_t offered = 0;  ///< requests sent during the slowdown
  /// Task starts in the slowdown's first second.
  std::uint64_t first_starts = 0;
  /// Requests sent in the slowdown's first second.
  std::uint64_t first_offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t all_offered = 0;
  std::uint64_t all_answered = 0;
  /// Response times in seconds of the requests answered with status 200.
  std::vector<double> response;
  /// Seconds from the end of the slowdown to the recovery; negative if never.
  double recovery = -1;
};

/// One run of one retry policy under one fault.
class retry_run {
 public:
  retry_run(const retry_variant& variant, slowdown fault, std::uint32_t entries,
            std::uint64_t seed)
      : fault_(std::move(fault)),
        random_(seed),
        fleet_(Options(entries, seed)),
        client_(fleet_, variant),
        ends_(kSamplesPerSecond * (kSendUntil + kTimeout).count() + 1),
        queued_(ends_.size()) {}

  retry_result Run() {
    fleet_.WarmUp();
    start_ = fleet_.Time().Now();
    for (std::size_t i = 0; i < kClients; ++i) {
      const auto phase =
          std::uniform_int_distribution<std::int64_t>(0, 999'999)(random_);
      fleet_.Time().After(std::chrono::microseconds(phase),
                          [this] { SendEachSecond(); });
    }
    Sample(0);
    fleet_.Time().RunUntil(start_ + kSendUntil + kTimeout);
    FindRecovery();
    return result_;
  }

 private:
  retry_fleet::options Options(std::uint32_t entries, std::uint64_t seed) {
    retry_fleet::options options;
    options.system.entries = entries;
    options.seed = seed;
    options.run = [this](std::size_t agent, const std::string& /*body*/) {
      return MakeRun(agent);
    };
    options.on_start = [this](std::size_t /*agent*/) {
      if (Slow()) ++result_.starts;
      if (FirstSecond()) ++result_.first_starts;
    };
    return options;
  }

  bool Slow() const {
    const duration at = fleet_.Time().Now() - start_;
    return at >= kSlowFrom && at < kSlowUntil;
  }

  bool FirstSecond() const {
    return Slow() && fleet_.Time().Now() - start_ < kSlowFrom + seconds(1);
  }

  fleet_run MakeRun(std::size_t agent) {
    // With a mean of 123 ms, 500 requests/s use 0.7 of the capacity of 88
    // slots.
    constexpr double kMean = 0.123;
    constexpr double kSigma = 0.7;
    std::lognormal_distribution<double> length(
        std::log(kMean) - kSigma * kSigma / 2, kSigma);
    std::bernoulli_distribution fails(fault_.failing);
    double run = length(random_);
    const bool failed = fails(random_);
    if (Slow() && agent < fault_.endpoints) {
      if (failed && fault_.fails_fast) return {milliseconds(1), false};
      run *= fault_.slower;
    }
    const auto time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(run));
    if (time > kAttemptTimeout) return {kAttemptTimeout, false};
    return {time, !(Slow() && agent < fault_.endpoints && failed)};
  }

  void SendEachSecond() {
    const steady_time sent = fleet_.Time().Now();
    if (sent - start_ >= kSendUntil) return;
    fleet_.Time().After(seconds(1), [this] { SendEachSecond(); });
    const bool slow = Slow();
    ++result_.all_offered;
    if (slow) ++result_.offered;
    if (FirstSecond()) ++result_.first_offered;
    client_.Send("", sent + kTimeout, [this, sent, slow](bool success) {
      if (success) OnAnswered(sent, slow);
    });
  }

  void OnAnswered(steady_time sent, bool slow) {
    const steady_time now = fleet_.Time().Now();
    ++result_.all_answered;
    if (slow) ++result_.answered;
    result_.response.push_back(
        std::chrono::duration<double>(now - sent).count());
    const auto slot = static_cast<std::size_t>((now - start_) / kSamplePeriod);
    if (slot < ends_.size()) ++ends_[slot];
  }

  void Sample(std::size_t slot) {
    if (slot >= queued_.size()) return;
    queued_[slot] = fleet_.Queued();
    fleet_.Time().After(kSamplePeriod, [this, slot] { Sample(slot + 1); });
  }

  /// Finds the first second after the fault that starts with an empty queue and
  /// has 95% of the goodput before the fault.
  void FindRecovery() {
    const std::size_t from = kSamplesPerSecond * kSlowUntil.count();
    const std::size_t until =
        kSamplesPerSecond * (kSendUntil - seconds(1)).count();
    double usual = 0;
    for (std::size_t i = kSamplesPerSecond; i < 9 * kSamplesPerSecond; ++i) {
      usual += static_cast<double>(ends_[i]) / 8;
    }
    for (std::size_t i = from; i < until; ++i) {
      std::uint64_t second = 0;
      for (std::size_t j = i; j < i + kSamplesPerSecond; ++j) {
        second += ends_[j];
      }
      if (static_cast<double>(second) < 0.95 * usual || queued_[i] > 0) {
        continue;
      }
      result_.recovery = static_cast<double>(i - from) / kSamplesPerSecond;
      return;
    }
  }

  slowdown fault_;
  std::mt19937_64 random_;
  mutable retry_fleet fleet_;
  retry_client client_;
  steady_time start_;
  std::vector<std::uint64_t> ends_;
  std::vector<std::size_t> queued_;
  retry_result result_;
};

std::vector<retry_variant> Variants() {
  constexpr milliseconds kLongOpen{30000};
  constexpr milliseconds kShortOpen{2000};
  std::vector<retry_variant> all(14);
  all[0].name = "none";
  all[1] = {"naive x5", 5};
  all[2] = {"backoff x5", 5, false, true};
  all[3] = {"adaptive backoff x5", 5, false, true, true};
  all[4] = {"budget (product)", 3, true, false, false, true};
  all[5] = {"budget + backoff", 3, false, true, false, true};
  all[6] = {"naive, breaker 30 s", 5, false, false, false, false, kLongOpen};
  all[7] = {"naive, breaker 2 s", 5, false, false, false, false, kShortOpen};
  all[8] = {"budget, breaker 30 s", 3, true, false, false, true, kLongOpen};
  all[9] = {"budget, breaker 2 s", 3, true, false, false, true, kShortOpen};
  all[10] = {"budget, adaptive, 30 s", 3, false, true, true, true, kLongOpen};
  all[11] = {"none, clients x5", 1};
  all[12] = {"naive x5, clients x5", 5};
  all[13] = {"budget, clients x5", 3, true, false, false, true};
  for (std::size_t i = 11; i < all.size(); ++i) all[i].client_sends = 5;
  return all;
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

void PrintFault(const slowdown& fault, std::uint64_t seed) {
  std::printf("\n%s, 10 s to 30 s\n", fault.name.c_str());
  std::printf("%-24s %10s %10s %10s %10s %10s\n", "policy", "starts/req",
              "200 then", "200 all", "p99 s", "recovery s");
  for (const retry_variant& variant : Variants()) {
    const retry_result run = retry_run(variant, fault, 3, seed).Run();
    std::printf("%-24s %10.3f %10.4f %10.4f %10.3f %10.1f\n",
                variant.name.c_str(), Share(run.starts, run.offered),
                Share(run.answered, run.offered),
                Share(run.all_answered, run.all_offered),
                Quantile(run.response, 0.99), run.recovery);
  }
}

}  // namespace

void PrintRetries(std::uint64_t seed) {
  constexpr std::size_t kAll = 11;
  const std::vector<slowdown> faults = {
      {"1 of 11 endpoints fails half of its tasks at once", 1, 0.5, 1},
      {"3 of 11 endpoints fail half of their tasks at once", 3, 0.5, 1},
      {"all endpoints fail half of their tasks at once", kAll, 0.5, 1},
      {"all endpoints fail all of their tasks at once", kAll, 1, 1},
      {"3 of 11 endpoints fail all of their tasks after the run time", 3, 1, 1,
       false},
      {"all endpoints fail 30% of their tasks after the run time", kAll, 0.3, 1,
       false},
      {"all endpoints fail half of their tasks after the run time", kAll, 0.5,
       1, false},
      {"all endpoints fail all of their tasks after the run time", kAll, 1, 1,
       false},
      {"all endpoints 1.5 times slower, attempts end at 500 ms", kAll, 0, 1.5},
      {"all endpoints 3 times slower, attempts end at 500 ms", kAll, 0, 3}};
  std::printf("500 requests/s, 3 entries, 11 endpoints of 8 slots\n");
  for (const slowdown& fault : faults) PrintFault(fault, seed);
  std::printf("\nbudget by number of entries, %s\n", faults[2].name.c_str());
  std::printf("%-8s %12s %12s %12s %10s\n", "entries", "retries/req",
              "first second", "after it", "200 then");
  for (const std::uint32_t entries : {1U, 3U, 20U}) {
    const retry_result run =
        retry_run(Variants()[4], faults[2], entries, seed).Run();
    std::printf(
        "%-8u %12.4f %12.4f %12.4f %10.4f\n", entries,
        Share(run.starts, run.offered) - 1,
        Share(run.first_starts, run.first_offered) - 1,
        Share(run.starts - run.first_starts, run.offered - run.first_offered) -
            1,
        Share(run.answered, run.offered));
  }
}

}  // namespace almond::bench
