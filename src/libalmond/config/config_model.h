#ifndef ALMOND_CONFIG_CONFIG_MODEL_H_
#define ALMOND_CONFIG_CONFIG_MODEL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// Properties of the requests of one kind.
struct service_rule {
  request_kind kind;
  bool idempotent = false;

  bool operator==(const service_rule&) const = default;
};

/// Settings of one service in one data centre.
struct service_config {
  team_id team;
  milliseconds default_timeout{5000};
  milliseconds max_timeout{60000};
  std::uint32_t max_tasks_per_job = 400;
  std::uint64_t max_body_bytes = std::uint64_t{1} << 20U;
  /// Run time after which a task may be suspended for new work.
  milliseconds suspend_after{2000};
  std::vector<service_rule> rules;

  bool operator==(const service_config&) const = default;

  /// @returns true only if a rule states it; kinds without a rule are
  ///   non-idempotent
  bool Idempotent(const request_kind& kind) const {
    for (const service_rule& rule : rules) {
      if (rule.kind == kind) return rule.idempotent;
    }
    return false;
  }
};

/// Quotas and share of one team, per entry.
struct team_config {
  std::uint32_t weight = 1;  ///< relative share among teams with queued work
  std::uint32_t max_queued_tasks = 20000;
  std::uint32_t max_running_tasks = 10000;

  bool operator==(const team_config&) const = default;
};

/// The effective configuration of one data centre: the base file merged with
/// the data centre's overlay.
struct data_centre_config {
  std::map<service_id, service_config> services;
  std::map<team_id, team_config> teams;

  bool operator==(const data_centre_config&) const = default;
};

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_MODEL_H_
