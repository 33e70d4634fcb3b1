#include "libalmond/core/outcome.h"

#include <algorithm>

namespace almond {
namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames = {"not-run", "ran",
                                                           "unknown"};

constexpr std::array<std::string_view, kRefusalReasonCount> kReasonNames = {
    "bad-request",
    "bad-json",
    "bad-utf8",
    "bad-header",
    "bad-submission-id",
    "unknown-service",
    "unknown-path",
    "unknown-job",
    "unknown-team",
    "body-too-large",
    "too-many-tasks",
    "exceeds-capacity",
    "team-quota",
    "overloaded",
    "no-endpoint",
    "draining",
    "ledger-unavailable",
    "no-configuration",
    "submission-conflict",
    "submission-expired",
    "deadline-in-queue",
    "deadline-running",
    "cancelled",
    "task-failed",
    "endpoint-refused",
    "endpoint-lost",
    "agent-lost",
    "owner-lost",
    "answer-lost"};

constexpr std::array<std::string_view, kRetryReasonCount> kRetryNames = {
    "grant-expired", "endpoint-refused", "start-not-sent",
    "fenced",        "task-failed",      "outcome-unknown"};

template <typename Enum, std::size_t Count>
std::optional<Enum> ParseName(const std::array<std::string_view, Count>& names,
                              std::string_view name) {
  const auto* const found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<Enum>(found - names.begin());
}

}  // namespace

std::string_view Name(run_outcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::optional<run_outcome> ParseRunOutcome(std::string_view name) {
  return ParseName<run_outcome>(kOutcomeNames, name);
}

std::string_view Name(refusal_reason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

std::optional<refusal_reason> ParseRefusalReason(std::string_view name) {
  return ParseName<refusal_reason>(kReasonNames, name);
}

std::string_view Name(retry_reason reason) {
  return kRetryNames.at(static_cast<std::size_t>(reason));
}

}  // namespace almond
