#include "libalmond/report/report_layout.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <iterator>

namespace almond {
namespace {

// Widths in characters. Longer values are not truncated and shift their row.
constexpr std::size_t kNameWidth = 30;
constexpr std::size_t kValueWidth = 12;
constexpr double kMillisecondsPerSecond = 1000;

std::string PadRight(std::string text, std::size_t width) {
  if (text.size() < width) text.append(width - text.size(), ' ');
  return text;
}

std::string PadLeft(const std::string& text, std::size_t width) {
  const std::size_t used = std::min(width - 1, text.size());
  return std::string(width - used, ' ') + text;
}

std::string Number(std::optional<double> value, int decimals) {
  if (!value) return "-";
  const int size = std::snprintf(nullptr, 0, "%.*f", decimals, *value);
  std::string text(static_cast<std::size_t>(size) + 1, '\0');
  std::snprintf(text.data(), text.size(), "%.*f", decimals, *value);
  text.pop_back();
  return text;
}

std::optional<double> Quotient(std::optional<double> part,
                               std::optional<double> whole) {
  if (!part || !whole || *whole == 0) return std::nullopt;
  return *part / *whole;
}

/// One column: its title, its unit and the function that formats its value.
struct column {
  std::string title;
  std::string unit;
  std::function<std::string(const process_report&)> value;
};

column Metric(std::string title, std::string unit, int decimals,
              std::function<std::optional<double>(const metrics_text&)> find) {
  return {std::move(title), std::move(unit),
          [decimals, find = std::move(find)](const process_report& process) {
            return Number(
                process.metrics ? find(*process.metrics) : std::nullopt,
                decimals);
          }};
}

column Total(std::string title, const std::string& name) {
  return Metric(std::move(title), "tasks", 0,
                [name](const metrics_text& text) { return text.Sum(name); });
}

// The quantiles of a summary without values are meaningless.
std::optional<double> Quantile(const metrics_text& text,
                               const std::string& name,
                               const std::string& quantile) {
  if (text.Value(name + "_count").value_or(0) == 0) return std::nullopt;
  return text.Value(name, "quantile=\"" + quantile + "\"");
}

std::vector<column> Quantiles(const std::string& title, const std::string& unit,
                              const std::string& name, int decimals,
                              double factor) {
  std::vector<column> columns;
  for (const auto& [label, quantile] :
       {std::pair<std::string, std::string>{"p50", "0.5"},
        {"p99", "0.99"},
        {"p999", "0.999"}}) {
    columns.push_back(
        Metric(std::string(title).append(" ").append(label), unit, decimals,
               [name, factor, level = quantile](const metrics_text& text) {
                 auto value = Quantile(text, name, level);
                 if (value) *value *= factor;
                 return value;
               }));
  }
  return columns;
}

std::string Goodput(const process_report& process) {
  const double seconds =
      std::chrono::duration<double>(process.interval).count();
  if (!process.metrics || !process.earlier || seconds <= 0) return "-";
  const std::string name = "almond_tasks_completed_total";
  const auto now = process.metrics->Sum(name);
  const auto before = process.earlier->Sum(name);
  // A restarted process counts from zero.
  if (!now || !before || *now < *before) return "-";
  return Number((*now - *before) / seconds, 1);
}

std::string Row(const std::string& name, const std::vector<column>& columns,
                const std::function<std::string(const column&)>& cell) {
  std::string line = PadRight(name, kNameWidth);
  for (const column& one : columns) line += PadLeft(cell(one), kValueWidth);
  return line + "\n";
}

std::string Table(const std::string& title, const std::vector<column>& columns,
                  const std::vector<process_report>& processes) {
  std::string text = title + "\n";
  text += Row("process", columns, [](const auto& one) { return one.title; });
  text += Row("", columns, [](const auto& one) { return one.unit; });
  for (const process_report& process : processes) {
    text += Row(process.name, columns,
                [&](const auto& one) { return one.value(process); });
  }
  return text + "\n";
}

std::vector<column> ResponseColumns() {
  std::vector<column> columns =
      Quantiles("ratio", "x ideal", "almond_response_ratio", 2, 1);
  const std::string wasted = "almond_wasted_messages_total";
  const std::string messages = "almond_dispatch_messages_total";
  columns.push_back(Metric("wasted", "messages", 0,
                           [=](const auto& text) { return text.Sum(wasted); }));
  columns.push_back(
      Metric("messages", "per task", 2, [=](const metrics_text& text) {
        auto tasks = text.Sum("almond_tasks_completed_total");
        const auto failed = text.Sum("almond_tasks_failed_total");
        if (tasks && failed) *tasks += *failed;
        return Quotient(text.Sum(messages), tasks);
      }));
  return columns;
}

std::vector<column> PeakColumns() {
  return {Total("completed", "almond_tasks_completed_total"),
          {"goodput", "tasks/s", Goodput},
          Total("failed", "almond_tasks_failed_total"),
          Total("refused", "almond_refusals_total"),
          Total("queued", "almond_queued_tasks"),
          Total("running", "almond_running_tasks")};
}

std::vector<column> WaitColumns() {
  std::vector<column> columns = Quantiles(
      "short", "ms", "almond_short_wait_seconds", 1, kMillisecondsPerSecond);
  std::ranges::move(
      Quantiles("all", "ms", "almond_wait_seconds", 1, kMillisecondsPerSecond),
      std::back_inserter(columns));
  return columns;
}

// One row per reason with a count, so that the columns stay fixed.
std::string Reasons(const std::string& title, const std::string& metric,
                    const std::vector<process_report>& processes) {
  std::string text = title + "\n" + PadRight("process", kNameWidth) +
                     PadRight("  reason", kNameWidth) +
                     PadLeft("count", kValueWidth) + "\n";
  for (const process_report& process : processes) {
    if (!process.metrics) continue;
    for (const auto& [reason, count] : process.metrics->ByLabel(metric)) {
      if (count == 0) continue;
      text += PadRight(process.name, kNameWidth) +
              PadRight("  " + reason, kNameWidth) +
              PadLeft(Number(count, 0), kValueWidth) + "\n";
    }
  }
  return text;
}

}  // namespace

std::string FormatReport(const std::vector<process_report>& processes) {
  return Table("1. response time against the ideal, wasted messages",
               ResponseColumns(), processes) +
         Table("2. service at the peak", PeakColumns(), processes) +
         Reasons("   refused, by reason", "almond_refusals_total", processes) +
         "\n" +
         Reasons("   retried, by reason", "almond_retries_total", processes) +
         "\n" +
         Table("3. wait of short work (run time under 1 s) and of all work",
               WaitColumns(), processes);
}

}  // namespace almond
