#ifndef ALMOND_REPORT_METRICS_TEXT_H_
#define ALMOND_REPORT_METRICS_TEXT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace almond {

/// The metrics of one process, parsed from the Prometheus text format.
class metrics_text {
 public:
  /// @param text metrics of one process; lines that are not samples are skipped
  static metrics_text Parse(std::string_view text);

  /// @param name metric name
  /// @param labels label list as written between the braces, or empty
  /// @returns the value, or nothing if the metric is not exposed
  std::optional<double> Value(const std::string& name,
                              const std::string& labels = "") const;
  /// @returns sum over all labels, or nothing if there is no sample
  std::optional<double> Sum(const std::string& name) const;
  /// @returns values by the value of the only label, such as the reason
  std::map<std::string, double> ByLabel(const std::string& name) const;
  /// @returns values of all samples, by metric name with the labels in braces
  const std::map<std::string, double>& Samples() const { return samples_; }

 private:
  std::map<std::string, double> samples_;
};

}  // namespace almond

#endif  // ALMOND_REPORT_METRICS_TEXT_H_
