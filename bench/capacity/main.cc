// Measures the cost of each role's state and messages, as slopes for
// docs/CAPACITY.md.

#include <gflags/gflags.h>

#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "bench/capacity/figures.h"

DEFINE_string(figure, "all",
              "figure to measure: queue, dispatch, entry-links, agent, "
              "agent-links, start-table, ledger, heartbeats, config, frames "
              "or all");
DEFINE_uint32(repeats, 5, "runs of each size; the median is printed");

using almond::bench::PrintAgent;
using almond::bench::PrintAgentLinks;
using almond::bench::PrintConfig;
using almond::bench::PrintDispatch;
using almond::bench::PrintEntryLinks;
using almond::bench::PrintFrames;
using almond::bench::PrintHeartbeats;
using almond::bench::PrintLedger;
using almond::bench::PrintQueue;
using almond::bench::PrintStartTable;

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures slopes of memory and processor time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::pair<std::string, std::function<void(std::size_t)>>>
      figures = {{"queue", PrintQueue},
                 {"dispatch", PrintDispatch},
                 {"entry-links", PrintEntryLinks},
                 {"agent", PrintAgent},
                 {"agent-links", PrintAgentLinks},
                 {"start-table", PrintStartTable},
                 {"ledger", PrintLedger},
                 {"heartbeats", PrintHeartbeats},
                 {"config", PrintConfig},
                 {"frames", PrintFrames}};
  bool found = false;
  for (const auto& [name, print] : figures) {
    if (FLAGS_figure != "all" && FLAGS_figure != name) continue;
    found = true;
    std::printf("== %s\n", name.c_str());
    print(FLAGS_repeats > 0 ? FLAGS_repeats : 1);
  }
  if (!found) {
    std::fprintf(stderr, "unknown figure %s; see --help\n",
                 FLAGS_figure.c_str());
    return 2;
  }
  return 0;
}
