#include "libalmond/report/report_layout.h"

#include <catch2/catch.hpp>

#include "libalmond/core/metrics.h"

namespace almond {
namespace {

class report_fixture {
 protected:
  // The golden file is a string literal, so that the test does not depend on
  // the working directory.
  static constexpr const char* kGolden =
#include "report/report.golden.txt"
      ;

  // Returns the metrics of an entry after 1000 tasks, from the real registry.
  std::string BusyEntry() {
    metrics_.Counter("almond_tasks_completed_total").Add(990);
    metrics_.Counter("almond_tasks_failed_total").Add(10);
    metrics_.Refusals(refusal_reason::overloaded).Add(120);
    metrics_.Refusals(refusal_reason::deadline_in_queue).Add(3);
    metrics_.Retries(retry_reason::grant_expired).Add(7);
    const std::string messages = "almond_dispatch_messages_total";
    metrics_.Counter(messages, "type=\"start\"").Add(1007);
    metrics_.Counter(messages, "type=\"answer\"").Add(1000);
    metrics_.Counter("almond_wasted_messages_total", "type=\"start\"").Add(7);
    metrics_.Gauge("almond_queued_tasks").Set(42);
    metrics_.Gauge("almond_running_tasks").Set(88);
    for (int i = 1; i <= 1000; ++i) {
      metrics_.Summary("almond_response_ratio").Add(1 + i / 1000.0);
      metrics_.Summary("almond_wait_seconds").Add(i / 500.0);
      metrics_.Summary("almond_short_wait_seconds").Add(i / 10000.0);
    }
    return metrics_.Exposition();
  }

  metrics_registry metrics_;
};

// Guards against a change of the layout that breaks the users' scripts.
TEST_CASE_METHOD(report_fixture,
                 "report / busy and silent processes / match the golden file") {
  const std::string earlier = "almond_tasks_completed_total 890\n";
  const std::vector<process_report> processes = {
      {"http://127.0.0.1:8080", metrics_text::Parse(BusyEntry()),
       metrics_text::Parse(earlier), std::chrono::seconds(2)},
      {"http://127.0.0.1:8081",
       metrics_text::Parse("# no sample yet\n"),
       {},
       {}},
      {"http://127.0.0.1:8082", std::nullopt, {}, {}}};
  CHECK(FormatReport(processes) == kGolden);
}

// Guards against a negative goodput of a process that was restarted between the
// scrapes.
TEST_CASE_METHOD(report_fixture,
                 "report / counter below its earlier value / has no goodput") {
  const process_report process = {
      "p", metrics_text::Parse("almond_tasks_completed_total 5\n"),
      metrics_text::Parse("almond_tasks_completed_total 9\n"),
      std::chrono::seconds(1)};
  const std::string report = FormatReport({process});
  CHECK(report.find("-4.0") == std::string::npos);
}

// Guards against malformed metrics that are shown as values.
TEST_CASE_METHOD(report_fixture,
                 "metrics text / malformed lines / are skipped") {
  const metrics_text text = metrics_text::Parse(
      "\n# TYPE a counter\na\na x\na 1x\na nan\nb{r=\"x\"} 2\nb{r=\"y\"} 3\n"
      "bc{r=\"z\"} 4\nc{} 5\nlast 6");
  CHECK_FALSE(text.Value("a").has_value());
  CHECK(text.Sum("b") == 5.0);
  CHECK(text.ByLabel("b") == std::map<std::string, double>{{"x", 2}, {"y", 3}});
  CHECK(text.ByLabel("c").empty());
  CHECK(text.Value("last") == 6.0);
}

}  // namespace
}  // namespace almond
