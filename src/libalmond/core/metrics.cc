#include "libalmond/core/metrics.h"

#include <iomanip>
#include <limits>
#include <sstream>

namespace almond {
namespace {

template <typename Metric>
Metric& FindOrCreate(std::map<std::pair<std::string, std::string>,
                              std::unique_ptr<Metric>>& metrics,
                     const std::string& name, const std::string& labels) {
  auto& metric = metrics[{name, labels}];
  if (!metric) metric = std::make_unique<Metric>();
  return *metric;
}

std::string Braces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void WriteTypeLine(std::ostream& out, std::string& last,
                   const std::string& name, const char* type) {
  if (name == last) return;
  out << "# TYPE " << name << " " << type << "\n";
  last = name;
}

std::string ReasonLabel(std::string_view name) {
  return "reason=\"" + std::string(name) + "\"";
}

}  // namespace

summary::summary()
    : values_(boost::accumulators::tag::extended_p_square::probabilities =
                  kQuantiles) {}

double summary::Max() const {
  return Count() == 0 ? 0 : boost::accumulators::max(values_);
}

double summary::Quantile(std::size_t index) const {
  // Below this count the estimator is inaccurate; the maximum is an upper
  // bound.
  if (Count() < 2 * kQuantiles.size() + 3) return Max();
  return boost::accumulators::extended_p_square(
      values_)[static_cast<std::ptrdiff_t>(index)];
}

metrics_registry::metrics_registry() {
  for (std::size_t i = 0; i < kRefusalReasonCount; ++i) {
    refusals_[i] = &Counter("almond_refusals_total",
                            ReasonLabel(Name(static_cast<refusal_reason>(i))));
  }
  for (std::size_t i = 0; i < kRetryReasonCount; ++i) {
    retries_[i] = &Counter("almond_retries_total",
                           ReasonLabel(Name(static_cast<retry_reason>(i))));
  }
}

counter& metrics_registry::Counter(const std::string& name,
                                   const std::string& labels) {
  return FindOrCreate(counters_, name, labels);
}

gauge& metrics_registry::Gauge(const std::string& name,
                               const std::string& labels) {
  return FindOrCreate(gauges_, name, labels);
}

summary& metrics_registry::Summary(const std::string& name,
                                   const std::string& labels) {
  return FindOrCreate(summaries_, name, labels);
}

std::string metrics_registry::Exposition() const {
  std::ostringstream out;
  out << std::setprecision(std::numeric_limits<double>::digits10);
  std::string last;
  for (const auto& [name, metric] : counters_) {
    WriteTypeLine(out, last, name.first, "counter");
    out << name.first << Braces(name.second) << " " << metric->Value() << "\n";
  }
  for (const auto& [name, metric] : gauges_) {
    WriteTypeLine(out, last, name.first, "gauge");
    out << name.first << Braces(name.second) << " " << metric->Value() << "\n";
  }
  for (const auto& [name, metric] : summaries_) {
    WriteTypeLine(out, last, name.first, "summary");
    const std::string separator = name.second.empty() ? "" : ",";
    for (std::size_t i = 0; i < summary::kQuantiles.size(); ++i) {
      out << name.first << "{" << name.second << separator << "quantile=\""
          << summary::kQuantiles[i] << "\"} " << metric->Quantile(i) << "\n";
    }
    out << name.first << "_sum" << Braces(name.second) << " " << metric->Sum()
        << "\n";
    out << name.first << "_count" << Braces(name.second) << " "
        << metric->Count() << "\n";
  }
  return out.str();
}

}  // namespace almond
