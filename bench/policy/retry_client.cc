#include "bench/policy/retry_client.h"

#include <algorithm>
#include <utility>

namespace almond::bench {
namespace {

const team_id kTeam("geurproef");

}  // namespace

void retry_client::Send(const std::string& body, steady_time deadline,
                        end_hook on_end) {
  request sent;
  sent.body = body;
  sent.deadline = deadline;
  sent.on_end = std::move(on_end);
  SendToEntry(std::move(sent));
}

void retry_client::SendToEntry(request sent) {
  sent.entry = fleet_.RandomEntry();
  sent.attempt = 1;
  entry_state& entry = entries_[sent.entry];
  if (BreakerRefuses(entry)) {
    EndAtClient(std::move(sent), false);
    return;
  }
  if (!fleet_.Admit(sent.entry, kTeam, 1, sent.deadline)) {
    // A refusal for lack of slots is no evidence of failing endpoints.
    entry.half_open = false;
    EndAtClient(std::move(sent), false);
    return;
  }
  entry.budget.OnRequest();
  if (!variant_.uses_product_retries) {
    Attempt(sent, agent_id());
    return;
  }
  const std::size_t at = sent.entry;
  auto tasks = fleet_.MakeTasks({sent.body}, kTeam, sent.deadline);
  fleet_.Requests(at).Submit(
      std::move(tasks), true,
      [this, sent = std::move(sent)](const job_result& answer) {
        EndAtEntry(sent, std::holds_alternative<job_success>(answer));
      });
}

bool retry_client::BreakerRefuses(entry_state& entry) {
  if (variant_.breaker == milliseconds(0) || !entry.open_until) return false;
  if (fleet_.Time().Now() < *entry.open_until || entry.half_open) return true;
  entry.half_open = true;
  return false;
}

void retry_client::RecordBreaker(entry_state& entry, bool success) {
  entry.half_open = false;
  if (success) {
    entry.failures = 0;
    entry.open_until.reset();
  } else if (++entry.failures >= kBreakerFailureLimit) {
    entry.open_until = fleet_.Time().Now() + variant_.breaker;
  }
}

void retry_client::Attempt(const request& sent, const agent_id& avoid) {
  fleet_.Jobs(sent.entry)
      .Submit(
          fleet_.MakeTasks({sent.body}, kTeam, sent.deadline),
          [this, sent](const job_result& answer) { OnAnswer(sent, answer); },
          avoid);
}

void retry_client::OnAnswer(request sent, const job_result& answer) {
  constexpr double kNewestWeight = 0.02;
  const auto* failed = std::get_if<job_failure>(&answer);
  entry_state& entry = entries_[sent.entry];
  entry.failure_ratio +=
      kNewestWeight * ((failed != nullptr ? 1.0 : 0.0) - entry.failure_ratio);
  if (failed == nullptr || !MayRetry(sent, *failed)) {
    EndAtEntry(sent, failed == nullptr);
    return;
  }
  const duration delay = Delay(sent);
  ++sent.attempt;
  fleet_.Time().After(
      delay, [this, sent, avoid = failed->agent] { Attempt(sent, avoid); });
}

bool retry_client::MayRetry(const request& sent, const job_failure& failed) {
  const refusal_reason reason = failed.cause.reason;
  if (reason != refusal_reason::task_failed &&
      reason != refusal_reason::endpoint_lost &&
      reason != refusal_reason::agent_lost) {
    return false;
  }
  if (sent.attempt >= variant_.attempts ||
      sent.deadline <= fleet_.Time().Now()) {
    return false;
  }
  return !variant_.budget || entries_[sent.entry].budget.Take();
}

duration retry_client::Delay(const request& sent) {
  constexpr double kFirst = 0.05;
  constexpr double kLongest = 2;
  constexpr double kAdaptiveFactor = 4;
  if (!variant_.backoff) return duration(0);
  double longest = std::min(
      kLongest, kFirst * static_cast<double>(1U << (sent.attempt - 1)));
  if (variant_.adaptive && entries_[sent.entry].failure_ratio > 0.5) {
    longest *= kAdaptiveFactor;
  }
  std::uniform_real_distribution<double> jitter(0, longest);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(jitter(fleet_.Random())));
}

void retry_client::EndAtEntry(const request& sent, bool success) {
  RecordBreaker(entries_[sent.entry], success);
  EndAtClient(sent, success);
}

void retry_client::EndAtClient(request sent, bool success) {
  // Round-trip time between the client and an entry.
  constexpr milliseconds kRoundTrip{6};
  const steady_time next = fleet_.Time().Now() + kRoundTrip;
  if (success || sent.send >= variant_.client_sends || next >= sent.deadline) {
    sent.on_end(success);
    return;
  }
  ++sent.send;
  fleet_.Time().After(kRoundTrip,
                      [this, sent = std::move(sent)] { SendToEntry(sent); });
}

}  // namespace almond::bench
