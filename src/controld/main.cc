#include <gflags/gflags.h>
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <string>

#include "flags/limit_flags.h"
#include "libalmond/core/logging.h"
#include "libalmond/core/standard_streams.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/processes/control_process.h"
#include "libalmond/processes/daemon_log.h"
#include "platform/programs.h"

DEFINE_string(id, "", "id of this replica; must be listed in --replicas");
DEFINE_string(
    replicas, "",
    "all replicas as ID=IP:PORT/IP:PORT,... with the addresses for "
    "replicas and for entries and agents, and optionally /IP:PORT for "
    "operators");
DEFINE_string(listen_peer, "",
              "IP:PORT for replicas; default is the address in --replicas");
DEFINE_string(listen_control, "",
              "IP:PORT for entries and agents; default is the address in "
              "--replicas");
DEFINE_string(listen_http, "127.0.0.1:0",
              "IP:PORT of the operators' HTTP interface; port 0 selects a free "
              "port");
DEFINE_string(data_dir, "", "folder of the log and the snapshots");
DEFINE_string(cluster, "almond",
              "name of the cluster; a data folder of another cluster is "
              "rejected");
DEFINE_string(data_centre, "", "data centre of this replica");
DEFINE_string(
    data_centres, "",
    "all data centres of the deployment, separated by commas, besides "
    "those of the configuration; no other one can be evacuated");
DEFINE_bool(bootstrap, false,
            "initialise an empty data folder as part of a new cluster; only "
            "for the first start of every replica");
DEFINE_bool(platform, false,
            "serve the interfaces of the platform in platform/");
DECLARE_bool(help);

namespace almond {
namespace {

// Parses an address flag. An empty flag takes the fallback.
// Returns false and prints an error if the flag is malformed, or is empty and
// has no fallback.
bool ReadAddress(const char* name, const std::string& text,
                 const std::optional<socket_address>& fallback,
                 socket_address& result) {
  const auto parsed = text.empty() ? fallback : socket_address::Parse(text);
  if (parsed) {
    result = *parsed;
    return true;
  }
  std::cerr << "--" << name << " \"" << text << "\": expected IP:PORT\n";
  return false;
}

std::optional<control_settings> ReadSettings() {
  control_settings settings;
  settings.id = FLAGS_id;
  settings.cluster = FLAGS_cluster;
  settings.data_centre = data_centre_id(FLAGS_data_centre);
  settings.data_centres = ParseDataCentres(FLAGS_data_centres);
  settings.data_dir = FLAGS_data_dir;
  settings.bootstrap = FLAGS_bootstrap;
  const auto limits = ReadLimitFlags();
  if (!limits) return std::nullopt;
  settings.limits = *limits;
  const auto replicas = ParseReplicas(FLAGS_replicas);
  if (!replicas) {
    std::cerr << "--replicas \"" << FLAGS_replicas
              << "\": expected ID=IP:PORT/IP:PORT[/IP:PORT],... with distinct "
                 "ids\n";
    return std::nullopt;
  }
  settings.replicas = *replicas;
  const auto self =
      std::find_if(replicas->begin(), replicas->end(),
                   [](const auto& replica) { return replica.id == FLAGS_id; });
  if (self == replicas->end()) {
    std::cerr << "--id \"" << FLAGS_id << "\" is not listed in --replicas\n";
    return std::nullopt;
  }
  if (settings.data_dir.empty()) {
    std::cerr << "--data_dir is required\n";
    return std::nullopt;
  }
  if (!ReadAddress("listen_peer", FLAGS_listen_peer, self->peer,
                   settings.listen_peer) ||
      !ReadAddress("listen_control", FLAGS_listen_control, self->control,
                   settings.listen_control) ||
      !ReadAddress("listen_http", FLAGS_listen_http, std::nullopt,
                   settings.listen_http)) {
    return std::nullopt;
  }
  return settings;
}

/// Runs until a signal arrives.
/// @returns nothing, or the error if the process cannot start
std::optional<start_error> RunOnce(const control_settings& settings) {
  event_loop loop;
  const system_clock clock;
  control_process process(loop, clock, settings);
  if (auto error = process.Start()) return error;
  const auto stop = [&loop] { loop.Stop(); };
  const event_handle flush_log = FlushLogPeriodically(loop);
  const event_handle on_terminate = loop.OnSignal(SIGTERM, stop);
  const event_handle on_interrupt = loop.OnSignal(SIGINT, stop);
  loop.Run();
  return std::nullopt;
}

int Run(const control_settings& settings) {
  while (const auto error = RunOnce(settings)) {
    if (!error->temporary) {
      std::cerr << error->message << "\n";
      return 1;
    }
    if (!AwaitNextStart(*error)) break;
  }
  LOG(INFO) << "stopped by a signal";
  return 0;
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  almond::MakeStandardStreamsNonBlocking();
  gflags::SetUsageMessage(
      "almondproxy control process: one replica of the configuration, job "
      "ledger and directory. Each flag can also be set in the environment as "
      "FLAGS_name with --fromenv=name.");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  if (FLAGS_help) {
    gflags::ShowUsageWithFlagsRestrict(argv[0], "controld/main");
    return 0;
  }
  if (argc > 1) {
    std::cerr << "unexpected argument \"" << argv[1] << "\"\n";
    return 1;
  }
  if (FLAGS_platform) return almond::platform::RunControl();
  almond::ConfigureLogging("almond-controld");
  const auto settings = almond::ReadSettings();
  return settings ? almond::Run(*settings) : 1;
}
