#ifndef ALMOND_CONTROLLERS_ENTRY_DISPATCH_METRICS_H_
#define ALMOND_CONTROLLERS_ENTRY_DISPATCH_METRICS_H_

#include <string>

#include "libalmond/core/metrics.h"

namespace almond {

/// Counters of dispatch messages, looked up once. "Wasted" messages led to
/// neither a start nor an answer.
struct dispatch_metrics {
  explicit dispatch_metrics(metrics_registry& registry)
      : all(registry),
        start(Sent(registry, "start")),
        answer(Sent(registry, "answer")),
        grant(Sent(registry, "grant")),
        demand(Sent(registry, "demand")),
        recall(Sent(registry, "recall")),
        query(Sent(registry, "query")),
        cancel(Sent(registry, "cancel")),
        acknowledge(Sent(registry, "forget")),
        return_grants(Sent(registry, "return_grants")),
        wasted_start(Wasted(registry, "start")),
        wasted_return(Wasted(registry, "return_grants")),
        wasted_recall(Wasted(registry, "recall")),
        wasted_query(Wasted(registry, "query")),
        late_answers(registry.Counter("almond_late_answers_total")),
        ejections(registry.Counter("almond_ejections_total")),
        readmissions(registry.Counter("almond_readmissions_total")) {}

  metrics_registry& all;
  counter& start;
  counter& answer;
  counter& grant;
  counter& demand;
  counter& recall;
  counter& query;
  counter& cancel;
  counter& acknowledge;
  counter& return_grants;
  counter& wasted_start;
  counter& wasted_return;
  counter& wasted_recall;
  counter& wasted_query;
  counter& late_answers;
  counter& ejections;
  counter& readmissions;

 private:
  static counter& Sent(metrics_registry& registry, const std::string& type) {
    return registry.Counter("almond_dispatch_messages_total",
                            "type=\"" + type + "\"");
  }
  static counter& Wasted(metrics_registry& registry, const std::string& type) {
    return registry.Counter("almond_wasted_messages_total",
                            "type=\"" + type + "\"");
  }
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_DISPATCH_METRICS_H_
