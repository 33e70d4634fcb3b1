#include "libalmond/report/metrics_text.h"

#include <charconv>
#include <cmath>

namespace almond {

metrics_text metrics_text::Parse(std::string_view text) {
  metrics_text result;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.empty() || line.front() == '#') continue;
    const std::size_t space = line.rfind(' ');
    if (space == std::string_view::npos) continue;
    const std::string_view number = line.substr(space + 1);
    double value = 0;
    const auto [stop, fault] =
        std::from_chars(number.data(), number.data() + number.size(), value);
    const bool whole = stop == number.data() + number.size();
    if (fault != std::errc() || !whole || !std::isfinite(value)) continue;
    result.samples_[std::string(line.substr(0, space))] = value;
  }
  return result;
}

std::optional<double> metrics_text::Value(const std::string& name,
                                          const std::string& labels) const {
  const auto found =
      samples_.find(labels.empty() ? name : name + "{" + labels + "}");
  if (found == samples_.end()) return std::nullopt;
  return found->second;
}

std::optional<double> metrics_text::Sum(const std::string& name) const {
  std::optional<double> sum = Value(name);
  for (const auto& [label, value] : ByLabel(name)) {
    sum = sum.value_or(0) + value;
  }
  return sum;
}

std::map<std::string, double> metrics_text::ByLabel(
    const std::string& name) const {
  std::map<std::string, double> values;
  const std::string prefix = name + "{";
  for (auto sample = samples_.lower_bound(prefix);
       sample != samples_.end() && sample->first.starts_with(prefix);
       ++sample) {
    const std::size_t open = sample->first.find('"');
    const std::size_t close = sample->first.rfind('"');
    if (open == std::string::npos || close <= open) continue;
    values[sample->first.substr(open + 1, close - open - 1)] += sample->second;
  }
  return values;
}

}  // namespace almond
