#include "libalmond/processes/input_budget.h"

#include <map>
#include <string>

#include "libalmond/core/logging.h"

namespace almond {
namespace {

constexpr std::chrono::seconds kLogPeriod{10};

struct logged_refusals {
  std::optional<steady_time> logged_at;
  std::uint64_t unlogged = 0;
};

}  // namespace

std::shared_ptr<connection_budget> MakeInputBudget(const clock_interface& clock,
                                                   metrics_registry& metrics,
                                                   const input_limits& limits) {
  const auto logged =
      std::make_shared<std::map<input_refusal, logged_refusals>>();
  return std::make_shared<connection_budget>(
      clock, limits, [&clock, &metrics, logged](input_refusal reason) {
        const std::string name(Name(reason));
        metrics.Counter("almond_http_refused_total", "reason=\"" + name + "\"")
            .Add();
        logged_refusals& state = (*logged)[reason];
        ++state.unlogged;
        const steady_time now = clock.SteadyNow();
        if (state.logged_at && now - *state.logged_at < kLogPeriod) return;
        LOG(WARNING) << "refused " << state.unlogged
                     << " connections or requests, reason: " << name;
        state = {now, 0};
      });
}

}  // namespace almond
