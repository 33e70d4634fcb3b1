#ifndef ALMOND_REPORT_REPORT_LAYOUT_H_
#define ALMOND_REPORT_REPORT_LAYOUT_H_

#include <optional>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/report/metrics_text.h"

namespace almond {

/// One process of a report.
struct process_report {
  std::string name;  ///< for example the URL
  /// Metrics as scraped; nothing if the process did not answer.
  std::optional<metrics_text> metrics;
  /// Metrics of an earlier scrape, for the goodput; nothing if there is none.
  std::optional<metrics_text> earlier;
  /// Time between the two scrapes.
  duration interval{0};
};

/// Formats the metrics of processes in fixed-width columns with units. Only
/// this module defines the layout, which is provisional: it is to be matched to
/// the report of the retired system once the users send a sample. A value that
/// a process does not expose is shown as "-".
/// @param processes in the order of the rows
/// @returns the report as lines of text
std::string FormatReport(const std::vector<process_report>& processes);

}  // namespace almond

#endif  // ALMOND_REPORT_REPORT_LAYOUT_H_
