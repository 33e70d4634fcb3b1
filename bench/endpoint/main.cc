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

DEFINE_string(service, "geurmatch", "Service that the endpoints belong to.");
DEFINE_string(
    agents, "",
    "HTTP addresses IP:PORT of agents, separated by commas; each gets "
    "an endpoint of its own. Required.");
DEFINE_string(listen, "127.0.0.1:0",
              "Address IP:PORT of the first endpoint; further ones take the "
              "ports above it, or free ones for port 0.");
DEFINE_uint32(slots, 8, "Slots of each endpoint, 1 to 4096.");
DEFINE_uint32(cpu_milli, 16000, "Processors of each endpoint in thousandths.");
DEFINE_uint32(memory_mib, 32768, "Memory of each endpoint in MiB.");
DEFINE_string(controls, "pause,resume,checkpoint,stop",
              "Controls that are announced, separated by commas.");
DEFINE_uint32(default_ms, 100,
              "Run time in milliseconds of a task whose body does not say "
              "{\"ms\":N}.");
DEFINE_double(slow_factor, 1, "Factor on all run times, 0 or more.");
DEFINE_bool(fail_all, false, "Answer each task with status 500 at its end.");
DEFINE_double(refuse_share, 0,
              "Share of starts refused with a true not-run, 0 to 1.");
DEFINE_string(start_log, "",
              "File to which each start is appended as a line of JSON; it "
              "outlives the death of this process. Empty: no log.");
DEFINE_uint32(drain_timeout, 120,
              "Longest time for tasks to finish after SIGTERM, in seconds.");

DECLARE_bool(help);

namespace almond {
namespace {

int Wrong(const std::string& message) {
  std::cerr << "almond-bench-endpoint: " << message << "\n";
  return EXIT_FAILURE;
}

/// One endpoint with its port, tasks and agent.
struct bench_endpoint {
  bench_endpoint(event_loop& loop, const clock_interface& clock,
                 const simulation& how)
      : tasks(loop, clock, how),
        server(loop, [this](const http_request& request,
                            const http_server::responder& respond) {
          tasks.OnHttp(request, respond);
        }) {}

  simulated_tasks tasks;
  http_server server;
  std::unique_ptr<announcer> announce;
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

/// @returns a hook that appends one line to the stream for each start
std::function<void(const http_request&)> LogStarts(std::ostream& out) {
  return [&out](const http_request& request) {
    const nlohmann::json line = {
        {"ms", EpochMillis()},
        {"submission", HeaderValue(request.headers, "Almond-Submission")},
        {"task", HeaderValue(request.headers, "Almond-Task")},
        {"kind", HeaderValue(request.headers, "Almond-Kind")},
        {"body", request.body}};
    // Flushed at once, so that a killed process leaves all its starts behind.
    out << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << std::endl;
  };
}

/// The endpoints of this process, and how they end.
class bench_process {
 public:
  explicit bench_process(simulation how) : how_(std::move(how)) {}

  bool Start(socket_address listen, const std::vector<socket_address>& agents) {
    for (const socket_address& agent : agents) {
      auto endpoint = std::make_unique<bench_endpoint>(loop_, clock_, how_);
      if (!endpoint->server.Listen(listen)) return false;
      const socket_address& address = endpoint->server.Address();
      LOG(INFO) << "endpoint " << address.ToString() << " of agent "
                << agent.ToString();
      endpoint->announce =
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
  // Grants are out for 2 s after the leave, so that tasks still arrive.
  static constexpr milliseconds kLastStarts{2500};
  static constexpr milliseconds kCheckPeriod{50};

  void OnSignal() {
    if (leaving_) {
      Abandon("second signal");
      return;
    }
    leaving_ = true;
    for (auto& endpoint : endpoints_) endpoint->announce->Leave([] {});
    drain_ = loop_.After(kLastStarts, [this] {
      drain_ = loop_.Every(kCheckPeriod, [this] {
        if (Unfinished() == 0) loop_.Stop();
      });
    });
    limit_ = loop_.After(std::chrono::seconds(FLAGS_drain_timeout),
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
  simulation how_;
  std::vector<std::unique_ptr<bench_endpoint>> endpoints_;
  bool leaving_ = false;
  int exit_code_ = EXIT_SUCCESS;
  event_handle terminate_;
  event_handle interrupt_;
  event_handle drain_;
  event_handle limit_;
};

int RunEndpoints() {
  const auto agents = socket_address::ParseList(FLAGS_agents);
  if (!agents || agents->empty()) {
    return Wrong("--agents: expected a list of IP:PORT, got \"" + FLAGS_agents +
                 "\"");
  }
  const auto listen = socket_address::Parse(FLAGS_listen);
  if (!listen) {
    return Wrong("--listen: expected IP:PORT, got \"" + FLAGS_listen + "\"");
  }
  if (FLAGS_slow_factor < 0) return Wrong("--slow_factor: expected 0 or more");
  if (FLAGS_refuse_share < 0 || FLAGS_refuse_share > 1) {
    return Wrong("--refuse_share: expected 0 to 1");
  }
  ConfigureLogging("almond-bench-endpoint");
  simulation how{milliseconds(FLAGS_default_ms), FLAGS_slow_factor,
                 FLAGS_fail_all, FLAGS_refuse_share};
  std::ofstream start_log;
  if (!FLAGS_start_log.empty()) {
    start_log.open(FLAGS_start_log, std::ios::app);
    if (!start_log) return Wrong("--start_log: cannot open the file");
    how.on_start = LogStarts(start_log);
  }
  bench_process process(std::move(how));
  if (!process.Start(*listen, *agents)) {
    return Wrong("--listen: cannot listen on " + FLAGS_listen);
  }
  return process.Run();
}

}  // namespace
}  // namespace almond

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "stand-in endpoints that simulate run times, one for each agent");
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
  return almond::RunEndpoints();
}
