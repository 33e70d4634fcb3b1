#ifndef ALMOND_BENCH_LOAD_REPORT_H_
#define ALMOND_BENCH_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"

namespace almond {

/// Result of one request.
struct load_sample {
  std::size_t step = 0;  ///< step of the profile in which it was sent
  std::size_t tasks = 1;
  bool has_long = false;  ///< contains a long task
  milliseconds ideal{0};  ///< run time of its longest task
  duration response{0};   ///< from the scheduled send time to the end
  std::string reason;     ///< "complete", the refusal's reason, or an error
  std::string outcome;    ///< value of the Almond-Outcome header; may be empty
};

/// Load that was offered in one step of the profile.
struct load_step_offer {
  milliseconds length{0};
  double rate = 0;          ///< tasks per second
  std::uint64_t tasks = 0;  ///< tasks sent
};

/// Collects and summarises the results of a run.
class load_report {
 public:
  explicit load_report(std::vector<load_step_offer> steps)
      : steps_(std::move(steps)) {}

  void Sent(std::size_t step, std::size_t tasks) {
    steps_.at(step).tasks += tasks;
  }
  void Add(load_sample sample) { samples_.push_back(std::move(sample)); }
  std::size_t size() const { return samples_.size(); }

  /// @returns a human-readable table with times in milliseconds
  std::string Text() const;
  /// @returns the same figures as a JSON object
  std::string Json() const;

 private:
  struct quantiles {
    std::size_t count = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
  };
  static quantiles Quantiles(std::vector<double> values);
  std::map<std::string, quantiles> QuantileGroups() const;
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counts() const;
  double Goodput(std::size_t step) const;

  std::vector<load_step_offer> steps_;
  std::vector<load_sample> samples_;
};

}  // namespace almond

#endif  // ALMOND_BENCH_LOAD_REPORT_H_
