// Stand-in for a minion of the users' platform: announces itself to the agent
// on its machine and runs tasks under a lease. The spec of a task is the time
// in milliseconds that it works.
//
//   minion IP:PORT AGENT_IP:PORT ID SERVICE ZONE CPU RECORD
//   [FIRST_HEARTBEAT_MS]
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/socket_address.h"
#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "libalmond/net/http_server.h"

namespace {

using almond::http_request;
using almond::http_response;
using almond::milliseconds;
using nlohmann::json;

constexpr std::int64_t kMaxLeaseMs = 1000;  // hold_max_ms
constexpr milliseconds kHeartbeat{1500};
constexpr milliseconds kTick{5};

std::int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct running_task {
  std::int64_t run = 0;
  std::int64_t started = 0;
  std::int64_t work = 0;
};

struct ended_run {
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
};

struct waiting_hold {
  http_request request;
  almond::http_server::responder respond;
  std::int64_t until = 0;
};

class minion {
 public:
  minion(almond::socket_address listen, almond::socket_address agent,
         std::string id, json announcement, const std::string& record)
      : agent_(std::move(agent)),
        id_(std::move(id)),
        announcement_(std::move(announcement)),
        record_(record, std::ios::app),
        born_(WallMs()),
        server_(loop_, [this](const auto& request, const auto& respond) {
          Serve(request, respond);
        }) {
    if (!server_.Listen(listen)) {
      std::cerr << "minion: cannot listen on " << listen.ToString() << "\n";
      std::exit(2);
    }
  }

  /// @param first_heartbeat time from the start to the first heartbeat
  void Run(milliseconds first_heartbeat) {
    Record("listens", "-", 0, announcement_["available"]["cpu"].dump());
    const auto tick = loop_.Every(kTick, [this] { Tick(); });
    almond::event_handle beat;
    const auto first = loop_.After(first_heartbeat, [this, &beat] {
      Announce();
      beat = loop_.Every(kHeartbeat, [this] { Announce(); });
    });
    loop_.Run();
  }

 private:
  std::int64_t Clock() const {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now() - start_)
        .count();
  }

  void Announce() {
    json body = announcement_;
    body["clock_ms"] = Clock();
    body["seq"] = ++sequence_;
    body["born"] = born_;
    almond::SendHttpRequest(loop_, agent_,
                            {"PUT",
                             "/almondproxy/instances/" + id_,
                             "",
                             {{"Content-Type", "application/json"}},
                             body.dump()},
                            milliseconds(1000), [](const auto&) {});
  }

  void Record(const char* event, const std::string& task, std::int64_t run,
              const std::string& more) {
    record_ << WallMs() << " " << id_ << " " << event << " " << task << " run "
            << run << " " << more << std::endl;
  }

  void End(const std::string& task, const std::string& how) {
    const auto found = running_.find(task);
    ended_.push_back({++last_end_, task, found->second.run, how});
    highest_ended_[task] = std::max(highest_ended_[task], found->second.run);
    Record("end", task, found->second.run, how);
    running_.erase(found);
  }

  void Tick() {
    const std::int64_t now = Clock();
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, state] : running_) {
      if (now >= lease_) {
        ends.emplace_back(task, "lapsed");
      } else if (now - state.started >= state.work) {
        ends.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ends) End(task, how);
    std::vector<waiting_hold> due;
    for (auto next = holds_.begin(); next != holds_.end();) {
      if (!ended_.empty() || now >= next->until) {
        due.push_back(std::move(*next));
        next = holds_.erase(next);
      } else {
        ++next;
      }
    }
    for (const auto& hold : due) hold.respond(Lists());
  }

  void ExtendLease(const json& body) {
    const auto deadline = body.find("deadline_ms");
    if (deadline == body.end()) return;
    lease_ = std::max(
        lease_, std::min(deadline->get<std::int64_t>(), Clock() + kMaxLeaseMs));
  }

  http_response Json(int status, json body) const {
    body["clock_ms"] = Clock();
    body["born"] = born_;
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
  }

  http_response Lists() const {
    json running = json::array();
    for (const auto& [task, state] : running_) {
      const std::int64_t percent =
          std::min<std::int64_t>(99, (Clock() - state.started) * 100 /
                                         std::max<std::int64_t>(1, state.work));
      running.push_back({task, state.run, "", percent, 0});
    }
    json ended = json::array();
    for (const ended_run& end : ended_) {
      ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return Json(200, {{"running", running}, {"ended", ended}});
  }

  http_response Start(const json& body) {
    const std::string task = body["task"];
    const std::int64_t run = body["run"];
    ExtendLease(body);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run == run) {
      return Json(200, json::object());
    }
    const auto ended = highest_ended_.find(task);
    if ((found != running_.end() && found->second.run > run) ||
        (ended != highest_ended_.end() && ended->second >= run)) {
      return Json(409, {{"reason", "old"}});
    }
    if (body["deadline_ms"].get<std::int64_t>() <= Clock()) {
      return Json(409, {{"reason", "late"}});
    }
    running_[task] = {run, Clock(),
                      std::atoll(body["spec"].get<std::string>().c_str())};
    Record("start", task, run, "");
    return Json(200, json::object());
  }

  http_response Stop(const json& body) {
    const std::string task = body["task"];
    const std::int64_t run = body["run"];
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run) {
      End(task, "stopped");
    }
    highest_ended_[task] = std::max(highest_ended_[task], run);
    return Json(200, json::object());
  }

  void Serve(const http_request& request,
             const almond::http_server::responder& respond) {
    if (request.method == "GET") {
      respond({200, {}, ""});
      return;
    }
    const std::string expected =
        almond::HeaderValue(request.headers, "X-Almondproxy-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      respond({421, {}, ""});
      return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      respond({400, {}, ""});
      return;
    }
    const std::int64_t fence = body.value("fence", std::int64_t{0});
    if (fence < fence_) {
      respond(Json(409, {{"reason", "fence"}}));
      return;
    }
    fence_ = fence;
    if (request.path == "/almondproxy/run-start") {
      respond(Start(body));
    } else if (request.path == "/almondproxy/run-stop") {
      respond(Stop(body));
    } else if (request.path == "/almondproxy/hold") {
      ExtendLease(body);
      const std::int64_t seen = body.value("seen_upto", std::int64_t{0});
      std::erase_if(ended_,
                    [seen](const auto& end) { return end.number <= seen; });
      const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
      if (wait > 0 && ended_.empty()) {
        holds_.push_back({request, respond, Clock() + wait});
      } else {
        respond(Lists());
      }
    } else {
      respond({404, {}, ""});
    }
  }

  almond::socket_address agent_;
  std::string id_;
  json announcement_;
  std::ofstream record_;
  std::int64_t born_;
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, running_task> running_;
  std::map<std::string, std::int64_t> highest_ended_;
  std::vector<ended_run> ended_;
  std::vector<waiting_hold> holds_;
  almond::event_loop loop_;
  almond::http_server server_;
};

}  // namespace

int main(int argc, char** argv) {
  const auto listen = almond::socket_address::Parse(argc > 1 ? argv[1] : "");
  const auto agent = almond::socket_address::Parse(argc > 2 ? argv[2] : "");
  if ((argc != 8 && argc != 9) || !listen || !agent) {
    std::cerr << "usage: minion IP:PORT AGENT_IP:PORT ID SERVICE ZONE CPU "
                 "RECORD [FIRST_HEARTBEAT_MS]\n";
    return 2;
  }
  const json announcement = {
      {"service", argv[4]},
      {"address", listen->ToString()},
      {"zone", argv[5]},
      {"version", "v1"},
      {"capacity", 8},
      {"state", "ready"},
      {"available",
       {{"cpu", std::atoi(argv[6])}, {"mem_mb", 32768}, {"gpu", 0}}},
      {"labels", {"a", "r1-1"}}};
  minion(*listen, *agent, argv[3], announcement, argv[7])
      .Run(milliseconds(argc == 9 ? std::atoi(argv[8]) : 0));
}
