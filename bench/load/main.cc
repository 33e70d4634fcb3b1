#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "libalmond/core/logging.h"
#include "load_generator.h"

DEFINE_string(entries, "127.0.0.1:8080",
              "Entries as IP:PORT or http://IP:PORT, separated by commas");
DEFINE_string(service, "geurmatch", "Service to which requests are sent");
DEFINE_double(rate, 100, "Base rate in tasks per second");
DEFINE_string(profile, "5s:1x",
              "Steps LENGTH:RATE, separated by commas; LENGTH in s or ms, RATE "
              "in tasks per second or, with x, as a multiple of --rate");
DEFINE_int32(job_tasks, 0, "Tasks of each job; 0 sends single requests");
DEFINE_int32(short_ms, 50, "Run time of short tasks in milliseconds");
DEFINE_int32(long_ms, 2000, "Run time of long tasks in milliseconds");
DEFINE_double(long_share, 0, "Fraction of long tasks, 0 to 1");
DEFINE_string(kinds, "", "Kinds to choose from at random, separated by commas");
DEFINE_string(teams, "", "Teams to choose from at random, separated by commas");
DEFINE_int32(timeout_ms, 5000, "Timeout of each request in milliseconds");
DEFINE_int32(max_requests, 100000, "Maximum number of requests in the run");
DEFINE_int32(max_in_flight, 5000, "Maximum number of requests in flight");
DEFINE_uint64(seed, 1, "Seed of the random schedule");
DEFINE_bool(json, false, "Print the results as JSON instead of a table");

namespace almond {
namespace {

/// Limit on the run, so that a wrong profile does not load a system for hours.
constexpr std::chrono::minutes kMaxRun{30};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  std::string part;
  while (std::getline(input, part, ',')) parts.push_back(part);
  return parts;
}

std::optional<std::vector<socket_address>> ReadEntries() {
  const std::string scheme = "http://";
  std::vector<socket_address> entries;
  for (std::string text : Split(FLAGS_entries)) {
    if (text.rfind(scheme, 0) == 0) text.erase(0, scheme.size());
    const auto address = socket_address::Parse(text);
    if (!address) return std::nullopt;
    entries.push_back(*address);
  }
  if (entries.empty()) return std::nullopt;
  return entries;
}

std::string CheckNumbers() {
  if (FLAGS_rate < 0) return "--rate is negative";
  if (FLAGS_job_tasks < 0) return "--job_tasks is negative";
  if (FLAGS_short_ms < 0 || FLAGS_long_ms < 0) {
    return "--short_ms or --long_ms is negative";
  }
  if (FLAGS_long_share < 0 || FLAGS_long_share > 1) {
    return "--long_share is not from 0 to 1";
  }
  if (FLAGS_timeout_ms < 1) return "--timeout_ms is below 1";
  if (FLAGS_max_requests < 1 || FLAGS_max_in_flight < 1) {
    return "--max_requests or --max_in_flight is below 1";
  }
  return "";
}

std::optional<load_settings> ReadSettings(std::string& error) {
  const auto entries = ReadEntries();
  const auto profile = ParseProfile(FLAGS_profile, FLAGS_rate);
  error = CheckNumbers();
  if (!entries) error = "--entries: expected a list of IP:PORT";
  if (!profile) error = "--profile: malformed step in " + FLAGS_profile;
  if (!error.empty()) return std::nullopt;
  milliseconds total{0};
  for (const load_step& step : *profile) total += step.length;
  if (total > kMaxRun) {
    error = "--profile: longer than 30 minutes";
    return std::nullopt;
  }
  load_settings settings;
  settings.entries = *entries;
  settings.service = FLAGS_service;
  settings.profile = *profile;
  settings.job_tasks = static_cast<std::size_t>(FLAGS_job_tasks);
  settings.short_time = milliseconds(FLAGS_short_ms);
  settings.long_time = milliseconds(FLAGS_long_ms);
  settings.long_share = FLAGS_long_share;
  settings.kinds = Split(FLAGS_kinds);
  settings.teams = Split(FLAGS_teams);
  settings.timeout = milliseconds(FLAGS_timeout_ms);
  settings.max_requests = static_cast<std::size_t>(FLAGS_max_requests);
  settings.max_in_flight = static_cast<std::size_t>(FLAGS_max_in_flight);
  settings.seed = FLAGS_seed;
  return settings;
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  gflags::SetUsageMessage("open-loop load generator for almondproxy entries");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::string error;
  const auto settings = almond::ReadSettings(error);
  if (argc > 1) error = std::string("unexpected argument ") + argv[1];
  if (!settings || !error.empty()) {
    std::cerr << "almond-bench-load: " << error << "\n";
    return EXIT_FAILURE;
  }
  almond::ConfigureLogging("almond-bench-load");
  almond::event_loop loop;
  almond::system_clock clock;
  almond::load_generator generator(loop, clock, *settings);
  generator.Start([&loop] { loop.Stop(); });
  loop.Run();
  std::cout << (FLAGS_json ? generator.Report().Json()
                           : generator.Report().Text())
            << "\n";
  return EXIT_SUCCESS;
}
