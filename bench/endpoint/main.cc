#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "announcer.h"
#include "libalmond/core/logging.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_server.h"
#include "simulated_tasks.h"

DEFINE_string(service, "geurmatch", "Service of the endpoints.");
DEFINE_string(
    agents, "",
    "HTTP addresses IP:PORT of agents, separated by commas; one endpoint "
    "is started for each. Required.");
DEFINE_string(listen, "127.0.0.1:0",
              "Address IP:PORT of the first endpoint; further ones use the "
              "following ports, or free ports if PORT is 0.");
DEFINE_uint32(slots, 8, "Slots of each endpoint, 1 to 4096.");
DEFINE_uint32(cpu_milli, 16000,
              "CPU of each endpoint in thousandths of a core.");
DEFINE_uint32(memory_mib, 32768, "Memory of each endpoint in MiB.");
DEFINE_string(controls, "pause,resume,checkpoint,stop",
              "Announced controls, separated by commas.");
DEFINE_uint32(default_ms, 100,
              "Run time in milliseconds of a task whose body does not contain "
              "{\"ms\":N}.");
DEFINE_double(slow_factor, 1, "Factor on all run times, 0 or more.");
DEFINE_bool(fail_all, false, "Answer each task with status 500 at its end.");
DEFINE_double(refuse_share, 0,
              "Fraction of starts refused as not-run, 0 to 1.");
DEFINE_string(start_log, "",
              "File to which each start is appended as a line of JSON, flushed "
              "so that no line is lost if the process is killed. Empty: no "
              "log.");
DEFINE_uint32(drain_timeout, 120,
              "Longest time to wait for tasks after SIGTERM, in seconds.");

DECLARE_bool(help);

namespace almond {
namespace {

int UsageError(const std::string& message) {
  std::cerr << "almond-bench-endpoint: " << message << "\n";
  return EXIT_FAILURE;
}

/// One simulated endpoint with its HTTP server, announced to one agent.
struct bench_endpoint {
  bench_endpoint(event_loop& loop, const clock_interface& clock,
                 const simulation_settings& settings)
      : tasks(loop, clock, settings),
        server(loop, [this](const http_request& request,
                            const http_server::responder& respond) {
          tasks.OnHttp(request, respond);
        }) {}

  simulated_tasks tasks;
  http_server server;
  std::unique_ptr<announcer> agent_announcer;
};

std::string Announcement(const socket_address& address) {
  nlohmann::json body = {
      {"service", FLAGS_service},       {"url", "http://" + address.ToString()},
      {"slots", FLAGS_slots},           {"cpu_milli", FLAGS_cpu_milli},
      {"memory_mib", FLAGS_memory_mib}, {"controls", nlohmann::json::array()}};
  std::size_t begin = 0;
  while (begin < FLAGS_controls.size()) {
    const std::size_t end =
        std::min(FLAGS_controls.find(',', begin), FLAGS_controls.size());
    body["controls"].push_back(FLAGS_controls.substr(begin, end - begin));
    begin = end + 1;
  }
  return body.dump();
}

std::int64_t EpochMillis() {
  return std::chrono::duration_cast<milliseconds>(
             system_clock().WallNow().time_since_epoch())
      .count();
}

/// @returns a hook that appends a line to the stream for each start
std::function<void(const http_request&)> MakeStartLogHook(std::ostream& out) {
  return [&out](const http_request& request) {
    const nlohmann::json line = {
        {"ms", EpochMillis()},
        {"submission", HeaderValue(request.headers, "Almond-Submission")},
        {"task", HeaderValue(request.headers, "Almond-Task")},
        {"kind", HeaderValue(request.headers, "Almond-Kind")},
        {"body", request.body}};
    // Flushed at once, so that no starts are lost if the process is killed.
    out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << std::endl;
  };
}

/// Runs the endpoints of this process until they are drained after a signal.
class bench_process {
 public:
  explicit bench_process(simulation_settings settings)
      : settings_(std::move(settings)) {}

  bool Start(socket_address listen, const std::vector<socket_address>& agents) {
    for (const socket_address& agent : agents) {
      auto endpoint =
          std::make_unique<bench_endpoint>(loop_, clock_, settings_);
      if (!endpoint->server.Listen(listen)) return false;
      const socket_address& address = endpoint->server.Address();
      LOG(INFO) << "endpoint " << address.ToString() << " of agent "
                << agent.ToString();
      endpoint->agent_announcer =
          std::make_unique<announcer>(loop_, agent, Announcement(address));
      endpoints_.push_back(std::move(endpoint));
      if (listen.port != 0) ++listen.port;
    }
    terminate_ = loop_.OnSignal(SIGTERM, [this] { OnSignal(); });
    interrupt_ = loop_.OnSignal(SIGINT, [this] { OnSignal(); });
    return true;
  }

  int Run() {
    loop_.Run();
    return exit_code_;
  }

 private:
  // Entries may use grants for 2 s after the leave, so tasks still arrive.
  static constexpr milliseconds kGrantLeaseWait{2500};
  static constexpr milliseconds kCheckPeriod{50};

  void OnSignal() {
    if (leaving_) {
      Abandon("second signal");
      return;
    }
    leaving_ = true;
    for (auto& endpoint : endpoints_) endpoint->agent_announcer->Leave([] {});
    drain_ = loop_.After(kGrantLeaseWait, [this] {
      drain_ = loop_.Every(kCheckPeriod, [this] {
        if (Unfinished() == 0) loop_.Stop();
      });
    });
    drain_limit_ = loop_.After(std::chrono::seconds(FLAGS_drain_timeout),
                               [this] { Abandon("drain timeout"); });
  }

  void Abandon(const char* cause) {
    LOG(ERROR) << cause << ": " << Unfinished() << " tasks abandoned";
    exit_code_ = EXIT_FAILURE;
    loop_.Stop();
  }

  std::size_t Unfinished() const {
    std::size_t total = 0;
    for (const auto& endpoint : endpoints_) {
      total += endpoint->tasks.Unfinished() + endpoint->server.Pending();
    }
    return total;
  }

  event_loop loop_;
  system_clock clock_;
  simulation_settings settings_;
  std::vector<std::unique_ptr<bench_endpoint>> endpoints_;
  bool leaving_ = false;
  int exit_code_ = EXIT_SUCCESS;
  event_handle terminate_;
  event_handle interrupt_;
  event_handle drain_;
  event_handle drain_limit_;
};

int RunEndpoints() {
  const auto agents = socket_address::ParseList(FLAGS_agents);
  if (!agents || agents->empty()) {
    return UsageError("--agents: expected a list of IP:PORT, got \"" +
                      FLAGS_agents + "\"");
  }
  const auto listen = socket_address::Parse(FLAGS_listen);
  if (!listen) {
    return UsageError("--listen: expected IP:PORT, got \"" + FLAGS_listen +
                      "\"");
  }
  if (FLAGS_slow_factor < 0) return UsageError("--slow_factor is negative");
  if (FLAGS_refuse_share < 0 || FLAGS_refuse_share > 1) {
    return UsageError("--refuse_share is not from 0 to 1");
  }
  ConfigureLogging("almond-bench-endpoint");
  simulation_settings settings{milliseconds(FLAGS_default_ms),
                               FLAGS_slow_factor, FLAGS_fail_all,
                               FLAGS_refuse_share};
  std::ofstream start_log;
  if (!FLAGS_start_log.empty()) {
    start_log.open(FLAGS_start_log, std::ios::app);
    if (!start_log) return UsageError("--start_log: cannot open the file");
    settings.on_start = MakeStartLogHook(start_log);
  }
  bench_process process(std::move(settings));
  if (!process.Start(*listen, *agents)) {
    return UsageError("--listen: cannot listen on " + FLAGS_listen);
  }
  return process.Run();
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "simulated endpoints that run tasks on timers, one for each agent");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (FLAGS_help) {
    gflags::ShowUsageWithFlagsRestrict(argv[0], "main");
    return EXIT_SUCCESS;
  }
  gflags::HandleCommandLineHelpFlags();
  if (argc > 1) {
    return almond::UsageError(std::string("unexpected argument \"") + argv[1] +
                              "\"");
  }
  return almond::RunEndpoints();
}
