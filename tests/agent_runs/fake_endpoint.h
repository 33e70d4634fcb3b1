#ifndef ALMOND_TESTS_AGENT_RUNS_FAKE_ENDPOINT_H_
#define ALMOND_TESTS_AGENT_RUNS_FAKE_ENDPOINT_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libalmond/controllers/agent/run_controller.h"

namespace almond {

/// In-memory endpoint under a lease. Requests are kept until the test answers
/// them, so that it can lose, delay or reorder them.
class fake_endpoint {
 public:
  struct start_call {
    run_start start;
    std::uint64_t fence = 0;
    std::function<void(start_reply)> reply;
  };
  struct stop_call {
    run_key key;
    std::uint64_t fence = 0;
    std::function<void(bool)> reply;
  };
  struct renew_call {
    lease_renewal renewal;
    std::function<void(const std::optional<lease_reply>&)> reply;
  };

  std::deque<start_call> starts;
  std::deque<stop_call> stops;
  std::deque<renew_call> renewals;
  std::uint64_t incarnation = 1;
  std::set<run_key> running;
  std::optional<std::uint32_t> percent;  ///< progress reported for all runs
  std::vector<listed_end> ended;

  void AddHooks(run_controller::hooks& hooks) {
    hooks.start = [this](const leased_endpoint&, const run_start& start,
                         std::uint64_t fence, milliseconds,
                         std::function<void(start_reply)> reply) {
      starts.push_back({start, fence, std::move(reply)});
    };
    hooks.stop = [this](const leased_endpoint&, const run_key& key,
                        std::uint64_t fence, std::function<void(bool)> reply) {
      stops.push_back({key, fence, std::move(reply)});
    };
    hooks.renew =
        [this](const leased_endpoint&, const lease_renewal& renewal,
               std::function<void(const std::optional<lease_reply>&)> reply) {
          renewals.push_back({renewal, std::move(reply)});
        };
  }

  /// Executes the oldest start request and answers it.
  void ReplyToStart(start_reply reply = start_reply::started) {
    const start_call call = std::move(starts.front());
    starts.pop_front();
    if (reply == start_reply::started) running.insert(call.start.key);
    call.reply(reply);
  }
  void ReplyToStop(bool acknowledged = true) {
    const stop_call call = std::move(stops.front());
    stops.pop_front();
    if (acknowledged && running.erase(call.key) > 0) {
      AddEnd(call.key, run_end_kind::stopped);
    }
    call.reply(acknowledged);
  }
  void AnswerRenewal() {
    const renew_call call = std::move(renewals.front());
    renewals.pop_front();
    lease_reply reply;
    reply.incarnation = incarnation;
    for (const run_key& key : running) reply.running.push_back({key, percent});
    for (const listed_end& end : ended) {
      if (end.sequence > call.renewal.acknowledged) reply.ended.push_back(end);
    }
    call.reply(reply);
  }
  /// Answers the newest renewal only; the earlier ones are lost.
  void AnswerLastRenewal() {
    renewals.erase(renewals.begin(), renewals.end() - 1);
    AnswerRenewal();
  }
  void RefuseRenewalAsFenced() {
    const renew_call call = std::move(renewals.front());
    renewals.pop_front();
    lease_reply reply;
    reply.fenced = true;
    reply.incarnation = incarnation;
    call.reply(reply);
  }
  void LoseRenewal() {
    const renew_call call = std::move(renewals.front());
    renewals.pop_front();
    call.reply(std::nullopt);
  }
  /// Starts a new incarnation, which runs nothing.
  void Restart() {
    ++incarnation;
    running.clear();
    ended.clear();
    last_end_ = 0;
  }
  void EndRun(const run_key& key, run_end_kind kind) {
    running.erase(key);
    AddEnd(key, kind);
  }

 private:
  void AddEnd(const run_key& key, run_end_kind kind) {
    ended.push_back({++last_end_, key, kind});
  }

  std::uint64_t last_end_ = 0;
};

}  // namespace almond

#endif  // ALMOND_TESTS_AGENT_RUNS_FAKE_ENDPOINT_H_
