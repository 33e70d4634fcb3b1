#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "fault_load.h"
#include "libalmond/core/logging.h"
#include "run_verdict.h"
#include "version_poller.h"

DEFINE_string(entries, "", "Entries as IP:PORT, separated by commas; required");
DEFINE_string(service, "geurmatch", "Service to call");
DEFINE_double(rate, 60, "New submissions per second, above 0 up to 1000");
DEFINE_int32(seconds, 15, "Duration of the load in seconds, 1 to 300");
DEFINE_int32(timeout_ms, 5000,
             "Timeout of each call in milliseconds, at least 1");
DEFINE_string(poll, "",
              "Processes whose configuration versions are polled, as IP:PORT, "
              "separated by commas");
DEFINE_string(starts, "", "Start logs of the endpoints, separated by commas");
DEFINE_string(allow, "",
              "Reasons other than \"complete\" that are allowed, separated by "
              "commas; all if empty");
DEFINE_string(events, "", "File of the fault script's events");

namespace almond {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  std::string part;
  while (std::getline(input, part, ',')) parts.push_back(part);
  return parts;
}

int Fail(const std::string& message) {
  std::cerr << "almond-bench-checker: " << message << "\n";
  return EXIT_FAILURE;
}

int Check() {
  const auto entries = socket_address::ParseList(FLAGS_entries);
  if (!entries || entries->empty()) return Fail("--entries: expected IP:PORT");
  std::vector<socket_address> watched;
  if (!FLAGS_poll.empty()) {
    const auto list = socket_address::ParseList(FLAGS_poll);
    if (!list) return Fail("--poll: expected IP:PORT");
    watched = *list;
  }
  if (FLAGS_rate <= 0 || FLAGS_rate > 1000) {
    return Fail("--rate: expected above 0 up to 1000");
  }
  if (FLAGS_seconds < 1 || FLAGS_seconds > 300) {
    return Fail("--seconds: expected 1 to 300");
  }
  if (FLAGS_timeout_ms < 1) return Fail("--timeout_ms: expected at least 1");
  ConfigureLogging("almond-bench-checker");
  event_loop loop;
  system_clock clock;
  fault_load load(
      loop, clock,
      {*entries, FLAGS_service, FLAGS_rate, std::chrono::seconds(FLAGS_seconds),
       milliseconds(FLAGS_timeout_ms)});
  version_poller poller(loop, clock, watched);
  poller.Start();
  load.Start([&loop] { loop.Stop(); });
  loop.Run();
  const auto allowed = Split(FLAGS_allow);
  const run_history history{load.Works(),
                            load.Calls(),
                            ReadStartLogs(Split(FLAGS_starts)),
                            ReadEvents(FLAGS_events),
                            poller.Samples(),
                            {allowed.begin(), allowed.end()}};
  const run_verdict verdict(history);
  std::cout << verdict.MakeReport();
  return verdict.IsClean() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "sends a constant load while faults are injected, and checks the "
      "guarantees against the calls and the endpoints' start logs");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) return almond::Fail("unexpected argument");
  return almond::Check();
}
