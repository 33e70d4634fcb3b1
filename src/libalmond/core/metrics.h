#ifndef ALMOND_CORE_METRICS_H_
#define ALMOND_CORE_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/outcome.h"

namespace almond {

/// A count of events that never decreases.
class counter {
 public:
  void Add(std::uint64_t events = 1) { value_ += events; }
  std::uint64_t Value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// A value that can rise and fall.
class gauge {
 public:
  void Set(double value) { value_ = value; }
  double Value() const { return value_; }

 private:
  double value_ = 0;
};

/// Summary of a measured value since the process started: count, sum, maximum
/// and estimated quantiles, in constant memory.
class summary {
 public:
  static constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

  summary();
  void Add(double value) { values_(value); }
  /// @param time duration, recorded in seconds
  void Add(duration time) { Add(std::chrono::duration<double>(time).count()); }
  std::uint64_t Count() const { return boost::accumulators::count(values_); }
  double Sum() const { return boost::accumulators::sum(values_); }
  double Max() const;
  /// @param index position in kQuantiles
  /// @returns the estimated quantile, 0 if there are no values
  double Quantile(std::size_t index) const;

 private:
  boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>
      values_;
};

/// The metrics of one process. Returned references are valid as long as the
/// registry.
class metrics_registry {
 public:
  /// Registers a counter for every refusal and retry reason, so that all are
  /// exposed from the start.
  metrics_registry();

  /// @param name metric name in the exposition format
  /// @param labels label list as written between the braces, or empty
  counter& Counter(const std::string& name, const std::string& labels = "");
  gauge& Gauge(const std::string& name, const std::string& labels = "");
  summary& Summary(const std::string& name, const std::string& labels = "");

  counter& Refusals(refusal_reason reason) {
    return *refusals_[static_cast<std::size_t>(reason)];
  }
  counter& Retries(retry_reason reason) {
    return *retries_[static_cast<std::size_t>(reason)];
  }

  /// @returns all metrics in the Prometheus text format
  std::string Exposition() const;

 private:
  using key = std::pair<std::string, std::string>;
  std::map<key, std::unique_ptr<counter>> counters_;
  std::map<key, std::unique_ptr<gauge>> gauges_;
  std::map<key, std::unique_ptr<summary>> summaries_;
  std::array<counter*, kRefusalReasonCount> refusals_{};
  std::array<counter*, kRetryReasonCount> retries_{};
};

}  // namespace almond

#endif  // ALMOND_CORE_METRICS_H_
