#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "flags/limit_flags.h"
#include "libalmond/core/logging.h"
#include "libalmond/core/standard_streams.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/processes/daemon_log.h"
#include "libalmond/processes/entry_control.h"
#include "libalmond/processes/entry_process.h"
#include "platform/programs.h"

DEFINE_string(id, "entry-1", "Id of this entry, unique among all entries");
DEFINE_string(data_centre, "",
              "Data centre of this entry, as in the configuration; required");
DEFINE_string(listen_http, "127.0.0.1:8080",
              "IP:PORT for callers; port 0 selects a free port");
DEFINE_string(listen_peer, "127.0.0.1:7080",
              "IP:PORT for agents; port 0 selects a free port");
DEFINE_string(control, "",
              "Comma-separated IP:PORT list of the control processes; "
              "required");
DEFINE_int32(drain_delay, 1000,
             "Milliseconds between failing the health check and closing the "
             "listener, 0 to 60000");
DEFINE_int32(drain_timeout, 60000,
             "Maximum milliseconds for requests in progress after the listener "
             "has closed, 0 to 3600000");

DEFINE_bool(platform, false,
            "serve the interfaces of the platform in platform/");
DECLARE_bool(help);

namespace almond {
namespace {

constexpr int kMaxDrainDelay = 60'000;
constexpr int kMaxDrainTimeout = 3'600'000;

void CheckRange(const char* flag, int value, int highest, std::string& error) {
  if (value >= 0 && value <= highest) return;
  error = std::string("--") + flag + ": expected milliseconds from 0 to " +
          std::to_string(highest);
}

/// @returns the settings, or nothing with a message in `error`
std::optional<entry_settings> ReadSettings(std::string& error) {
  entry_settings settings;
  settings.id = entry_id(FLAGS_id);
  settings.data_centre = data_centre_id(FLAGS_data_centre);
  const auto http = socket_address::Parse(FLAGS_listen_http);
  const auto peer = socket_address::Parse(FLAGS_listen_peer);
  if (FLAGS_id.empty()) error = "--id must not be empty";
  if (FLAGS_data_centre.empty()) error = "--data_centre is required";
  if (!http) {
    error = "--listen_http: expected IP:PORT, got " + FLAGS_listen_http;
  }
  if (!peer) {
    error = "--listen_peer: expected IP:PORT, got " + FLAGS_listen_peer;
  }
  const auto control = socket_address::ParseList(FLAGS_control);
  if (!control || control->empty()) {
    error = "--control: expected a list of at least one IP:PORT, got " +
            FLAGS_control;
  }
  CheckRange("drain_delay", FLAGS_drain_delay, kMaxDrainDelay, error);
  CheckRange("drain_timeout", FLAGS_drain_timeout, kMaxDrainTimeout, error);
  if (!error.empty()) return std::nullopt;
  const auto limits = ReadLimitFlags();
  if (!limits) return std::nullopt;
  settings.limits = *limits;
  settings.listen_http = *http;
  settings.listen_peer = *peer;
  settings.drain_delay = milliseconds(FLAGS_drain_delay);
  settings.drain_timeout = milliseconds(FLAGS_drain_timeout);
  return settings;
}

/// Runs the entry until it has drained after SIGTERM or SIGINT, or until a
/// second signal stops it.
/// @returns the exit code
int RunEntry(const entry_settings& settings,
             const std::vector<socket_address>& control) {
  ConfigureLogging("almond-entryd");
  event_loop loop;
  system_clock clock;
  entry_process entry(loop, clock, settings);
  const entry_control control_connection(loop, clock, settings, entry, control);
  if (!entry.Start()) {
    LOG(ERROR) << "cannot listen on " << settings.listen_http.ToString()
               << " or " << settings.listen_peer.ToString();
    return EXIT_FAILURE;
  }
  LOG(INFO) << "entry " << settings.id << " serves callers on "
            << entry.HttpAddress().ToString() << " and agents on "
            << entry.PeerAddress().ToString();
  int code = EXIT_SUCCESS;
  const auto on_drained = [&](std::size_t requests) {
    if (requests > 0) {
      LOG(WARNING) << "drain timeout, abandoning " << requests
                   << " requests in progress";
      code = EXIT_FAILURE;
    }
    loop.Stop();
  };
  const auto on_signal = [&] {
    if (!entry.Draining()) {
      entry.Drain(on_drained);
      return;
    }
    LOG(WARNING) << "second signal, abandoning " << entry.Pending()
                 << " requests in progress";
    code = EXIT_FAILURE;
    loop.Stop();
  };
  const auto flush_log = FlushLogPeriodically(loop);
  const auto term = loop.OnSignal(SIGTERM, on_signal);
  const auto interrupt = loop.OnSignal(SIGINT, on_signal);
  loop.Run();
  return code;
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  almond::MakeStandardStreamsNonBlocking();
  gflags::SetUsageMessage(
      "almondproxy entry: accepts requests and dispatches their tasks");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (FLAGS_help) {
    gflags::ShowUsageWithFlagsRestrict(argv[0], "main");
    return EXIT_SUCCESS;
  }
  gflags::HandleCommandLineHelpFlags();
  if (argc > 1) {
    std::cerr << "almond-entryd: unexpected argument " << argv[1] << "\n";
    return EXIT_FAILURE;
  }
  if (FLAGS_platform) return almond::platform::RunEntry();
  std::string error;
  const auto settings = almond::ReadSettings(error);
  if (!settings) {
    if (!error.empty()) std::cerr << "almond-entryd: " << error << "\n";
    return EXIT_FAILURE;
  }
  return almond::RunEntry(*settings,
                          *almond::socket_address::ParseList(FLAGS_control));
}
