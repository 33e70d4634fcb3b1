#include "load_report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace almond {
namespace {

constexpr int kNameWidth = 30;
constexpr int kColumnWidth = 12;

double Millis(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

load_report::quantiles load_report::Quantiles(std::vector<double> values) {
  quantiles result;
  result.count = values.size();
  if (values.empty()) return result;
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    const auto position =
        static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(position, values.size() - 1)];
  };
  result.p50 = at(0.5);
  result.p99 = at(0.99);
  result.p999 = at(0.999);
  return result;
}

std::map<std::string, load_report::quantiles> load_report::QuantileGroups()
    const {
  std::map<std::string, std::vector<double>> values;
  for (const load_sample& sample : samples_) {
    const double response = Millis(sample.response);
    if (sample.reason != "complete") {
      values[sample.outcome == "not-run" ? "refusal ms" : "failure ms"]
          .push_back(response);
      continue;
    }
    const std::string kind = sample.has_long ? "long" : "short";
    values["response ms"].push_back(response);
    values["response ms, " + kind].push_back(response);
    if (sample.ideal <= milliseconds(0)) continue;
    const double ratio = response / Millis(sample.ideal);
    values["ratio"].push_back(ratio);
    values["ratio, " + kind].push_back(ratio);
  }
  std::map<std::string, quantiles> result;
  for (auto& [name, list] : values) result[name] = Quantiles(std::move(list));
  return result;
}

std::map<std::pair<std::string, std::string>, std::uint64_t>
load_report::Counts() const {
  std::map<std::pair<std::string, std::string>, std::uint64_t> counts;
  for (const load_sample& sample : samples_) {
    ++counts[{sample.reason, sample.outcome}];
  }
  return counts;
}

double load_report::Goodput(std::size_t step) const {
  std::uint64_t done = 0;
  for (const load_sample& sample : samples_) {
    if (sample.step == step && sample.reason == "complete") {
      done += sample.tasks;
    }
  }
  const double seconds =
      std::chrono::duration<double>(steps_.at(step).length).count();
  return seconds > 0 ? static_cast<double>(done) / seconds : 0;
}

std::string load_report::Text() const {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << std::left;
  const auto name = [&](const std::string& text) {
    out << std::left << std::setw(kNameWidth) << text << std::right;
  };
  const auto column = [&](const auto& value) {
    out << std::setw(kColumnWidth) << value;
  };
  name("requests by reason (outcome)");
  column("count");
  out << "\n";
  for (const auto& [key, count] : Counts()) {
    name(key.second.empty() ? key.first : key.first + " (" + key.second + ")");
    column(count);
    out << "\n";
  }
  name("quantiles");
  for (const char* title : {"count", "p50", "p99", "p999"}) column(title);
  out << "\n";
  for (const auto& [group, values] : QuantileGroups()) {
    name(group);
    column(values.count);
    column(values.p50);
    column(values.p99);
    column(values.p999);
    out << "\n";
  }
  name("step, tasks per second");
  for (const char* title : {"seconds", "offered", "goodput"}) column(title);
  out << "\n";
  for (std::size_t i = 0; i < steps_.size(); ++i) {
    const double seconds =
        std::chrono::duration<double>(steps_[i].length).count();
    name(std::to_string(i + 1));
    column(seconds);
    column(seconds > 0 ? static_cast<double>(steps_[i].tasks) / seconds : 0);
    column(Goodput(i));
    out << "\n";
  }
  return out.str();
}

std::string load_report::Json() const {
  nlohmann::json object;
  for (const auto& [key, count] : Counts()) {
    object["requests"].push_back(
        {{"reason", key.first}, {"outcome", key.second}, {"count", count}});
  }
  for (const auto& [group, values] : QuantileGroups()) {
    object["quantiles"][group] = {{"count", values.count},
                                  {"p50", values.p50},
                                  {"p99", values.p99},
                                  {"p999", values.p999}};
  }
  for (std::size_t i = 0; i < steps_.size(); ++i) {
    object["steps"].push_back({{"length_ms", steps_[i].length.count()},
                               {"rate", steps_[i].rate},
                               {"tasks", steps_[i].tasks},
                               {"goodput", Goodput(i)}});
  }
  return object.dump(2);
}

}  // namespace almond
