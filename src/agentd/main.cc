#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "flags/limit_flags.h"
#include "libalmond/core/logging.h"
#include "libalmond/core/standard_streams.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/processes/agent_control.h"
#include "libalmond/processes/agent_process.h"
#include "libalmond/processes/daemon_log.h"
#include "platform/programs.h"

DEFINE_string(id, "", "Id of this agent, unique among all agents; required.");
DEFINE_string(data_centre, "", "Data centre of this agent; required.");
DEFINE_string(listen_http, "127.0.0.1:7100",
              "IP:PORT of the HTTP server for the endpoint and for operators; "
              "port 0 selects a free port.");
DEFINE_string(entries, "",
              "Comma-separated IP:PORT list of entries to connect to, in "
              "addition to those of the directory.");
DEFINE_string(control, "",
              "Comma-separated IP:PORT list of the control processes; "
              "required.");
DEFINE_int32(drain_timeout, 120,
             "Maximum time for running tasks to finish after SIGTERM, in "
             "seconds, 1 to 86400.");

DEFINE_bool(platform, false,
            "serve the interfaces of the platform in platform/");
DECLARE_bool(help);

namespace almond {
namespace {

/// Prints an error in the settings.
/// @returns the exit code for invalid settings
int Wrong(const std::string& message) {
  std::cerr << "almond-agentd: " << message << "\n";
  return EXIT_FAILURE;
}

/// Drains and stops the agent on SIGTERM or SIGINT. A second signal or the
/// drain timeout stops it at once.
class shutdown {
 public:
  shutdown(event_loop& loop, agent_process& agent)
      : loop_(loop), agent_(agent) {
    terminate_ = loop_.OnSignal(SIGTERM, [this] { OnSignal(); });
    interrupt_ = loop_.OnSignal(SIGINT, [this] { OnSignal(); });
  }
  int ExitCode() const { return exit_code_; }

 private:
  void OnSignal() {
    if (leaving_) {
      EndWithAbandonedTasks("second signal");
      return;
    }
    leaving_ = true;
    agent_.Drain([this] {
      LOG(INFO) << "drained, all tasks have finished";
      loop_.Stop();
    });
    timeout_ = loop_.After(std::chrono::seconds(FLAGS_drain_timeout),
                           [this] { EndWithAbandonedTasks("drain timeout"); });
  }

  void EndWithAbandonedTasks(const char* cause) {
    LOG(ERROR) << cause << ": " << agent_.Controller().Running()
               << " running tasks abandoned";
    exit_code_ = EXIT_FAILURE;
    loop_.Stop();
  }

  event_loop& loop_;
  agent_process& agent_;
  bool leaving_ = false;
  int exit_code_ = EXIT_SUCCESS;
  event_handle terminate_;
  event_handle interrupt_;
  event_handle timeout_;
};

int RunAgent() {
  if (FLAGS_id.empty()) return Wrong("--id is required");
  if (FLAGS_data_centre.empty()) return Wrong("--data_centre is required");
  const auto listen = socket_address::Parse(FLAGS_listen_http);
  if (!listen) {
    return Wrong("--listen_http: expected IP:PORT, got \"" + FLAGS_listen_http +
                 "\"");
  }
  const auto entries = socket_address::ParseList(FLAGS_entries);
  if (!entries) {
    return Wrong("--entries: expected a list of IP:PORT, got \"" +
                 FLAGS_entries + "\"");
  }
  const auto control = socket_address::ParseList(FLAGS_control);
  if (!control || control->empty()) {
    return Wrong("--control: expected a list of at least one IP:PORT, got \"" +
                 FLAGS_control + "\"");
  }
  constexpr int kMaxDrainTimeout = 86400;
  if (FLAGS_drain_timeout < 1 || FLAGS_drain_timeout > kMaxDrainTimeout) {
    return Wrong("--drain_timeout: expected 1 to 86400 seconds");
  }
  const auto limits = ReadLimitFlags();
  if (!limits) return EXIT_FAILURE;
  ConfigureLogging("almond-agentd");
  event_loop loop;
  const system_clock clock;
  const agent_settings settings{agent_id(FLAGS_id),
                                data_centre_id(FLAGS_data_centre),
                                *listen,
                                *entries,
                                *control,
                                *limits};
  agent_process agent(loop, clock, settings);
  const agent_control control_connection(loop, clock, settings, agent);
  if (!agent.Start()) {
    return Wrong("--listen_http: cannot listen on " + FLAGS_listen_http);
  }
  LOG(INFO) << "agent " << FLAGS_id << " listens on "
            << agent.HttpAddress().ToString();
  const event_handle flush_log = FlushLogPeriodically(loop);
  const shutdown on_signal(loop, agent);
  loop.Run();
  return on_signal.ExitCode();
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  almond::MakeStandardStreamsNonBlocking();
  gflags::SetUsageMessage(
      "almondproxy agent: runs tasks on one endpoint. Each flag can also be "
      "set in the environment as FLAGS_name with --fromenv=name.");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (FLAGS_help) {
    gflags::ShowUsageWithFlagsRestrict(argv[0], "main");
    return EXIT_SUCCESS;
  }
  gflags::HandleCommandLineHelpFlags();
  if (argc > 1) {
    return almond::Wrong(std::string("unexpected argument \"") + argv[1] +
                         "\"");
  }
  if (FLAGS_platform) return almond::platform::RunAgent();
  return almond::RunAgent();
}
