// Stand-in for a server of the platform ("minion"): runs tasks as timers under
// a lease, as the platform's protocol page describes. One process is one life.
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "libalmond/net/http_server.h"
#include "standin.h"

namespace review {
namespace {

using almond::event_handle;
using almond::event_loop;
using almond::http_request;
using almond::http_response;
using almond::http_server;
using nlohmann::json;
using std::chrono::milliseconds;

class minion {
 public:
  explicit minion(const options& given)
      : id_(given.Text("id")),
        address_(*almond::socket_address::Parse(given.Text("listen"))),
        control_(*almond::socket_address::Parse(given.Text("control"))),
        service_(given.Text("service")),
        zone_(given.Text("zone")),
        cpu_(given.Number("cpu")),
        register_delay_(given.Number("register_ms")),
        record_(given.Text("record")),
        life_(id_ + "/" + given.Text("life")),
        born_(WallMs()),
        clock_rate_(given.Text("clock_rate").empty()
                        ? 1000
                        : given.Number("clock_rate")),
        clock_start_(NowMs() - 1000),
        server_(loop_, [this](const http_request& request,
                              const http_server::responder& respond) {
          Handle(request, respond);
        }) {}

  int Run() {
    if (!server_.Listen(address_)) return EXIT_FAILURE;
    Note({{"event", "listening"}, {"cpu", cpu_}});
    tick_ = loop_.Every(milliseconds(2), [this] { Tick(); });
    loop_.Post(milliseconds(register_delay_), [this] {
      Heartbeat();
      beat_ = loop_.Every(milliseconds(kHeartbeatMs), [this] { Heartbeat(); });
    });
    mute_on_ = loop_.OnSignal(SIGUSR1, [this] { SetMute(true); });
    mute_off_ = loop_.OnSignal(SIGUSR2, [this] { SetMute(false); });
    loop_.Run();
    return EXIT_SUCCESS;
  }

 private:
  struct running_task {
    std::int64_t run = 0;
    std::int64_t cpu = 0;
    std::int64_t begun = 0;
    std::int64_t length = 0;
    std::int64_t stop_at = 0;  // 0: not being stopped
  };
  struct waiting_hold {
    std::int64_t until = 0;
    http_server::responder respond;
  };

  std::int64_t Clock() const {
    return (NowMs() - clock_start_) * clock_rate_ / 1000;
  }

  void Note(json fields) {
    fields["who"] = life_;
    record_.Write(std::move(fields));
  }

  void Reply(const http_server::responder& respond, int status, json body) {
    if (mute_) return;  // the call was carried out, its answer is lost
    body["clock_ms"] = Clock();
    respond({status, {{"Content-Type", "application/json"}}, body.dump()});
  }

  void Handle(const http_request& request,
              const http_server::responder& respond) {
    const std::string expected = almond::HeaderValue(
        request.headers, "X-Almondproxy-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      Reply(respond, 421, json::object());
      return;
    }
    if (request.path == "/healthz") {
      Reply(respond, 200, json::object());
      return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Reply(respond, 400, json::object());
      return;
    }
    Tick();  // an expired lease ends the tasks before the call is looked at
    const auto fence = body.value("fence", std::int64_t{0});
    if (fence < fence_) {
      Reply(respond, 409, {{"reason", "fence"}});
      return;
    }
    fence_ = fence;
    if (request.path == "/almondproxy/run-start") {
      Start(body, respond);
    } else if (request.path == "/almondproxy/run-stop") {
      Stop(body, respond);
    } else if (request.path == "/almondproxy/hold") {
      Hold(body, respond);
    } else {
      Reply(respond, 404, json::object());
    }
  }

  void TakeDeadline(const json& body) {
    if (!body.contains("deadline_ms")) return;
    const std::int64_t deadline = std::min<std::int64_t>(
        body["deadline_ms"].get<std::int64_t>(), Clock() + kHoldMaxMs);
    lease_ = std::max(lease_, deadline);
  }

  void Start(const json& body, const http_server::responder& respond) {
    const auto task = body["task"].get<std::string>();
    const auto run = body["run"].get<std::int64_t>();
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run == run) {
      TakeDeadline(body);
      Reply(respond, 200, json::object());
      return;
    }
    const auto over = highest_over_.find(task);
    if (over != highest_over_.end() && run <= over->second) {
      TakeDeadline(body);
      Reply(respond, 409, {{"reason", "old"}});
      return;
    }
    if (body.value("deadline_ms", std::int64_t{0}) <= Clock()) {
      Reply(respond, 409, {{"reason", "late"}});
      return;
    }
    TakeDeadline(body);
    // The spec of the clients here is "LENGTH_MS CPU".
    const std::string spec = body["spec"].get<std::string>();
    running_task begun;
    begun.run = run;
    begun.begun = NowMs();
    begun.length = std::atoll(spec.c_str());
    begun.cpu = std::atoll(spec.substr(spec.find(' ') + 1).c_str());
    running_[task] = begun;
    std::int64_t used = 0;
    for (const auto& [name, other] : running_) used += other.cpu;
    Note({{"event", "begin"},
          {"task", task},
          {"run", run},
          {"used_cpu", used},
          {"available_cpu", cpu_}});
    Reply(respond, 200, json::object());
  }

  void Stop(const json& body, const http_server::responder& respond) {
    const auto task = body["task"].get<std::string>();
    const auto run = body["run"].get<std::int64_t>();
    auto& over = highest_over_[task];
    over = std::max(over, run);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run == run &&
        known->second.stop_at == 0) {
      known->second.stop_at = NowMs() + kStopMs;
    }
    Reply(respond, 200, json::object());
  }

  void Hold(const json& body, const http_server::responder& respond) {
    TakeDeadline(body);
    const auto seen = body.value("seen_upto", std::int64_t{0});
    std::erase_if(ended_, [seen](const json& row) {
      return row[0].get<std::int64_t>() <= seen;
    });
    const auto wait = body.value("wait_ms", std::int64_t{0});
    if (wait == 0 || !ended_.empty()) {
      ReplyLists(respond);
    } else {
      holds_.push_back({NowMs() + wait, respond});
    }
  }

  void ReplyLists(const http_server::responder& respond) {
    json running = json::array();
    for (const auto& [task, listed] : running_) {
      const std::int64_t percent = std::min<std::int64_t>(
          99, (NowMs() - listed.begun) * 100 / std::max<std::int64_t>(
                                                   1, listed.length));
      running.push_back({task, listed.run, "", percent, listed.cpu});
    }
    Reply(respond, 200,
          {{"born", born_}, {"running", running}, {"ended", ended_}});
  }

  void End(const std::string& task, const char* how) {
    const running_task over = running_.at(task);
    running_.erase(task);
    auto& highest = highest_over_[task];
    highest = std::max(highest, over.run);
    ended_.push_back(json::array({++last_end_, task, over.run, how, ""}));
    Note({{"event", "end"}, {"task", task}, {"run", over.run}, {"how", how}});
  }

  void Tick() {
    const std::int64_t now = NowMs();
    std::map<std::string, const char*> over;
    for (const auto& [task, listed] : running_) {
      if (Clock() > lease_) {
        over[task] = "lapsed";
      } else if (listed.stop_at != 0 && now >= listed.stop_at) {
        over[task] = "stopped";
      } else if (listed.stop_at == 0 && now - listed.begun >= listed.length) {
        over[task] = "done";
      }
    }
    for (const auto& [task, how] : over) End(task, how);
    std::vector<waiting_hold> due;
    std::erase_if(holds_, [&](const waiting_hold& hold) {
      if (ended_.empty() && hold.until > now) return false;
      due.push_back(hold);
      return true;
    });
    for (const waiting_hold& hold : due) ReplyLists(hold.respond);
  }

  void SetMute(bool mute) {
    mute_ = mute;
    Note({{"event", mute ? "answers are lost" : "answers again"}});
  }

  void Heartbeat() {
    const json body = {{"service", service_},
                       {"address", address_.ToString()},
                       {"zone", zone_},
                       {"version", "v1"},
                       {"capacity", 8},
                       {"state", "ready"},
                       {"cold_left_ms", 0},
                       {"available",
                        {{"cpu", cpu_}, {"mem_mb", 32768}, {"gpu", 0}}},
                       {"labels", {"a", "r1-1"}},
                       {"clock_ms", Clock()},
                       {"born", born_},
                       {"seq", ++sequence_}};
    if (sequence_ == 1) Note({{"event", "registers"}});
    almond::SendHttpRequest(
        loop_, control_,
        {"PUT",
         "/almondproxy/instances/" + id_,
         "",
         {{"Content-Type", "application/json"}},
         body.dump()},
        milliseconds(1000), [](const almond::http_call_result&) {});
  }

  event_loop loop_;
  std::string id_;
  almond::socket_address address_;
  almond::socket_address control_;
  std::string service_;
  std::string zone_;
  std::int64_t cpu_;
  std::int64_t register_delay_;
  record record_;
  std::string life_;
  std::int64_t born_;
  std::int64_t clock_rate_;  // in thousandths
  std::int64_t clock_start_;
  bool mute_ = false;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, running_task> running_;
  std::map<std::string, std::int64_t> highest_over_;
  std::vector<json> ended_;
  std::vector<waiting_hold> holds_;
  http_server server_;
  event_handle tick_;
  event_handle beat_;
  event_handle mute_on_;
  event_handle mute_off_;
};

}  // namespace

int RunMinion(const options& given) { return minion(given).Run(); }

}  // namespace review
