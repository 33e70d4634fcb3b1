// Stand-in for the clients, the minions and the operator of a small
// deployment, for the scripts of this review. Plain sockets and threads; it
// follows the users' protocol page and shares no code with the project.
//
//   fleet SCENARIO TROUBLE RECORD SERVICE CONTROL FRONT READY MINION=AGENT...
//
// CONTROL, FRONT and READY are comma-separated IP:PORT lists, one place for
// each edge machine. Each MINION is the address of a minion to run, AGENT the
// control address of its side machine. Exits with 0 if the rule held, 1 if it
// was broken, 2 if the case could not run.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

const clock_type::time_point kStart = clock_type::now();

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             clock_type::now() - kStart)
      .count();
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

FILE* record_file = nullptr;
std::mutex record_mutex;

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  for (FILE* out : {record_file, stdout}) {
    std::fprintf(out, "%9.3f  %s\n", static_cast<double>(NowMs()) / 1000,
                 line.c_str());
    std::fflush(out);
  }
}

// ---- HTTP ----

struct message {
  std::string first;  // request line or status line
  std::string head;
  std::string body;
  int status = 0;  // of a response; 0 if there was none
};

int Dial(const std::string& address, int timeout_ms) {
  const auto colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

bool SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Header(const std::string& head, const std::string& name) {
  std::string lower = head;
  for (char& letter : lower) letter = static_cast<char>(std::tolower(letter));
  const auto found = lower.find("\r\n" + name + ":");
  if (found == std::string::npos) return {};
  auto begin = found + name.size() + 3;
  while (head[begin] == ' ') ++begin;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Reads one message; `rest` keeps bytes of the next one.
std::optional<message> Read(int descriptor, std::string& rest) {
  const auto more = [&] {
    char buffer[16384];
    const ssize_t count = recv(descriptor, buffer, sizeof(buffer), 0);
    if (count <= 0) return false;
    rest.append(buffer, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return std::nullopt;
  }
  message result;
  result.head = rest.substr(0, end + 2);
  result.first = result.head.substr(0, result.head.find("\r\n"));
  const std::string length = Header(result.head, "content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (rest.size() < end + 4 + size) {
    if (!more()) return std::nullopt;
  }
  result.body = rest.substr(end + 4, size);
  rest.erase(0, end + 4 + size);
  return result;
}

message Call(const std::string& address, const std::string& method,
             const std::string& path, const std::string& host,
             const std::string& headers, const std::string& body,
             int timeout_ms) {
  message none;
  const int descriptor = Dial(address, timeout_ms);
  if (descriptor < 0) return none;
  const std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
  std::string rest;
  std::optional<message> answer;
  if (SendAll(descriptor, request)) answer = Read(descriptor, rest);
  close(descriptor);
  if (!answer) return none;
  answer->status = std::atoi(answer->first.c_str() + 9);
  return *answer;
}

// ---- Minions ----

struct run_interval {
  std::string task;
  int run = 0;
  std::string minion;
  std::int64_t from = 0;
  std::int64_t to = -1;  // -1 while it runs
  std::string how;
};

std::mutex runs_mutex;
std::vector<std::shared_ptr<run_interval>> all_runs;

class minion {
 public:
  static constexpr std::int64_t kHoldMaxMs = 1000;
  static constexpr std::int64_t kBeatMs = 1500;

  minion(std::string id, std::string address, std::string agent,
         std::string service)
      : id_(std::move(id)),
        address_(std::move(address)),
        agent_(std::move(agent)),
        service_(std::move(service)),
        born_(WallMs()),
        clock_start_(NowMs()) {}

  bool Start() {
    const auto colon = address_.rfind(':');
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(address_.substr(colon + 1))));
    inet_pton(AF_INET, address_.substr(0, colon).c_str(), &own.sin_addr);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener_, reinterpret_cast<sockaddr*>(&own), sizeof(own)) != 0 ||
        listen(listener_, 64) != 0) {
      return false;
    }
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Beat(); }).detach();
    std::thread([this] { Work(); }).detach();
    return true;
  }

  const std::string& Id() const { return id_; }
  const std::string& Agent() const { return agent_; }
  json Announcement() {
    const std::lock_guard lock(mutex_);
    return {{"service", service_},
            {"address", address_},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"capacity", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"available", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"clock_ms", Clock()},
            {"born", born_},
            {"seq", ++sequence_}};
  }

 private:
  struct active {
    int run = 0;
    std::int64_t ends_at = 0;
    std::int64_t begun = 0;
    std::shared_ptr<run_interval> interval;
  };
  struct ended {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  std::int64_t Clock() const { return NowMs() - clock_start_; }

  void Accept() {
    for (;;) {
      const int descriptor = accept(listener_, nullptr, nullptr);
      if (descriptor < 0) return;
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, descriptor] { Serve(descriptor); }).detach();
    }
  }

  void Serve(int descriptor) {
    std::string rest;
    while (const auto request = Read(descriptor, rest)) {
      int status = 200;
      const std::string body = Answer(*request, status);
      const std::string reason = status == 200 ? "OK" : "Conflict";
      if (!SendAll(descriptor,
                   "HTTP/1.1 " + std::to_string(status) + " " + reason +
                       "\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
        break;
      }
    }
    close(descriptor);
  }

  std::string Answer(const message& request, int& status) {
    const json body = json::parse(request.body, nullptr, false);
    const std::string expected =
        Header(request.head, "x-almondproxy-expect-instance");
    std::unique_lock lock(mutex_);
    json answer = {{"clock_ms", Clock()}, {"born", born_}};
    if (!body.is_object()) {
      status = 400;
    } else if (!expected.empty() && expected != id_) {
      status = 421;
    } else if (body.value("fence", std::int64_t{0}) < fence_) {
      status = 409;
      answer["reason"] = "fence";
    } else {
      fence_ = body.value("fence", std::int64_t{0});
      if (request.first.find("/run-start ") != std::string::npos) {
        RunStart(body, answer, status);
      } else if (request.first.find("/run-stop ") != std::string::npos) {
        RunStop(body);
      } else if (request.first.find("/hold ") != std::string::npos) {
        Hold(body, answer, lock);
      } else {
        status = 404;
      }
    }
    return answer.dump();
  }

  void ExtendLease(const json& body) {
    if (!body.contains("deadline_ms")) return;
    const auto deadline =
        std::min(body["deadline_ms"].get<std::int64_t>(), Clock() + kHoldMaxMs);
    lease_ = std::max(lease_, deadline);
  }

  void RunStart(const json& body, json& answer, int& status) {
    const std::string task = body["task"];
    const int run = body["run"];
    if (body.value("deadline_ms", std::int64_t{0}) <= Clock()) {
      status = 409;
      answer["reason"] = "late";
      return;
    }
    ExtendLease(body);
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run == run) return;
    if (run <= highest_[task] || known != running_.end()) {
      status = 409;
      answer["reason"] = "old";
      return;
    }
    // The text of a job says how long its tasks work: "work 1200".
    const std::string spec = body["spec"];
    const std::int64_t work = std::atoi(spec.c_str() + std::strlen("work "));
    const auto interval = std::make_shared<run_interval>();
    interval->task = task;
    interval->run = run;
    interval->minion = id_;
    interval->from = NowMs();
    running_[task] = {run, NowMs() + work, NowMs(), interval};
    {
      const std::lock_guard all(runs_mutex);
      all_runs.push_back(interval);
    }
    Record(id_ + " begins task " + task + " run " + std::to_string(run));
  }

  void RunStop(const json& body) {
    const std::string task = body["task"];
    const int run = body["run"];
    highest_[task] = std::max(highest_[task], run);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run) {
      End(task, "stopped");
    }
  }

  void Hold(const json& body, json& answer,
            std::unique_lock<std::mutex>& lock) {
    ExtendLease(body);
    const auto seen = body.value("seen_upto", std::int64_t{0});
    std::erase_if(ended_, [&](const auto& end) { return end.number <= seen; });
    const std::int64_t wait = body.value("wait_ms", std::int64_t{0});
    if (wait > 0 && ended_.empty()) {
      changed_.wait_for(lock, std::chrono::milliseconds(wait),
                        [&] { return !ended_.empty(); });
    }
    answer["clock_ms"] = Clock();
    answer["running"] = json::array();
    for (const auto& [task, active] : running_) {
      const auto total =
          std::max<std::int64_t>(1, active.ends_at - active.begun);
      const auto percent = (NowMs() - active.begun) * 100 / total;
      answer["running"].push_back(
          {task, active.run, "", std::min<std::int64_t>(99, percent), 1000});
    }
    answer["ended"] = json::array();
    for (const auto& end : ended_) {
      answer["ended"].push_back({end.number, end.task, end.run, end.how, ""});
    }
  }

  void End(const std::string& task, const std::string& how) {
    const active done = running_.at(task);
    running_.erase(task);
    highest_[task] = std::max(highest_[task], done.run);
    ended_.push_back({++last_end_, task, done.run, how});
    {
      const std::lock_guard all(runs_mutex);
      done.interval->to = NowMs();
      done.interval->how = how;
    }
    Record(id_ + " ends task " + task + " run " + std::to_string(done.run) +
           ": " + how);
    changed_.notify_all();
  }

  void Work() {
    for (;;) {
      SleepMs(2);
      const std::lock_guard lock(mutex_);
      std::vector<std::pair<std::string, std::string>> ends;
      for (const auto& [task, active] : running_) {
        if (active.ends_at <= NowMs()) {
          ends.emplace_back(task, "done");
        } else if (Clock() > lease_) {
          ends.emplace_back(task, "lapsed");
        }
      }
      for (const auto& [task, how] : ends) End(task, how);
    }
  }

  void Beat() {
    for (;;) {
      Call(agent_, "PUT", "/almondproxy/instances/" + id_, agent_, "",
           Announcement().dump(), 1000);
      SleepMs(kBeatMs);
    }
  }

  std::string id_;
  std::string address_;
  std::string agent_;
  std::string service_;
  std::int64_t born_;
  std::int64_t clock_start_;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, active> running_;
  std::map<std::string, int> highest_;
  std::vector<ended> ended_;
};

// ---- Clients and scenarios ----

struct setup {
  bool trouble = true;
  std::string service;
  std::vector<std::string> control;
  std::vector<std::string> front;
  std::vector<std::string> ready;
  std::vector<std::unique_ptr<minion>> minions;
};

constexpr const char* kHost = "nony24.example";
constexpr const char* kPrefix = "/lohu930/";

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  for (;;) {
    const auto comma = text.find(',', begin);
    parts.push_back(text.substr(begin, comma - begin));
    if (comma == std::string::npos) return parts;
    begin = comma + 1;
  }
}

bool SendConfig(const setup& system) {
  const json config = {{"version", 7},
                       {"routes",
                        {{{"name", "r-1"},
                          {"host", kHost},
                          {"path_prefix", kPrefix},
                          {"type", "non_idempotent"},
                          {"timeout_ms", 6000},
                          {"slo_ms", 60},
                          {"priority", 0},
                          {"service", system.service},
                          {"attempts", 3},
                          {"stretch", 1.6}}}},
                       {"services",
                        {{{"name", system.service},
                          {"health_path", "/healthz"},
                          {"max_conns", 64},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"admission_check", false},
                          {"spare", false}}}},
                       {"limits",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 262144},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}}}};
  for (int attempt = 0; attempt < 100; ++attempt) {
    std::string address = system.control[attempt % system.control.size()];
    for (int hop = 0; hop < 3 && !address.empty(); ++hop) {
      const message answer = Call(address, "PUT", "/almondproxy/config",
                                  address, "", config.dump(), 1000);
      if (answer.status == 200) return true;
      const std::string location = Header(answer.head, "location");
      address = answer.status == 307 && location.size() > 7
                    ? location.substr(7, location.find('/', 7) - 7)
                    : "";
    }
    SleepMs(100);
  }
  return false;
}

bool AwaitReady(const setup& system) {
  for (int attempt = 0; attempt < 150; ++attempt) {
    std::size_t ready = 0;
    for (const std::string& address : system.ready) {
      if (Call(address, "GET", "/almondproxy/readyz", address, "", "", 1000)
              .status == 200) {
        ++ready;
      }
    }
    if (ready == system.ready.size()) return true;
    SleepMs(100);
  }
  return false;
}

int Submit(const std::string& front, const std::string& id, int tasks,
           int work_ms, int deadline_ms) {
  const json job = {{"spec", "work " + std::to_string(work_ms)},
                    {"best_effort", true},
                    {"steps",
                     {{{"count", tasks},
                       {"cpu", 1600},
                       {"mem_mb", 64},
                       {"est_ms", work_ms}}}}};
  Record("client sends job " + id + " to " + front + ", deadline " +
         std::to_string(deadline_ms) + " ms");
  const message answer =
      Call(front, "POST", kPrefix + id, kHost,
           "X-Almondproxy-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n",
           job.dump(), deadline_ms);
  Record("client gets " + std::to_string(answer.status) + " for job " + id +
         " " + answer.body);
  return answer.status;
}

std::vector<run_interval> Runs(const std::string& job) {
  const std::lock_guard lock(runs_mutex);
  std::vector<run_interval> result;
  for (const auto& run : all_runs) {
    if (run->task.starts_with(job)) result.push_back(*run);
  }
  return result;
}

// Waits until a run of the job is at work, and returns its minion.
minion* AwaitRun(const setup& system, const std::string& job) {
  for (int attempt = 0; attempt < 1000; ++attempt) {
    const auto runs = Runs(job);
    if (!runs.empty()) {
      for (const auto& candidate : system.minions) {
        if (candidate->Id() == runs.front().minion) return candidate.get();
      }
    }
    SleepMs(2);
  }
  return nullptr;
}

int CheckTwice(const std::string& job) {
  const auto runs = Runs(job);
  for (std::size_t i = 0; i < runs.size(); ++i) {
    for (std::size_t j = i + 1; j < runs.size(); ++j) {
      if (runs[i].task != runs[j].task) continue;
      const auto from = std::max(runs[i].from, runs[j].from);
      const auto to = std::min(runs[i].to < 0 ? NowMs() : runs[i].to,
                               runs[j].to < 0 ? NowMs() : runs[j].to);
      if (to <= from) continue;
      Record("TWICE broken: task " + runs[i].task + " ran on " +
             runs[i].minion + " (run " + std::to_string(runs[i].run) +
             ") and on " + runs[j].minion + " (run " +
             std::to_string(runs[j].run) + ") at the same time for " +
             std::to_string(to - from) + " ms");
      return 1;
    }
  }
  return 0;
}

// A heartbeat of another writer, with fields of another type, names the id of
// a minion at work.
int OtherWriter(const setup& system) {
  int broken = 0;
  for (int round = 0; round < 3; ++round) {
    const std::string job = "5c0e7a21d94b36f" + std::to_string(round);
    std::thread client([&] {
      Submit(system.front[round % system.front.size()], job, 1, 1500, 6000);
    });
    minion* worker = AwaitRun(system, job);
    if (worker == nullptr) {
      client.join();
      return 2;
    }
    SleepMs(300);
    if (system.trouble) {
      json other = worker->Announcement();
      other["capacity"] = "eight";
      other["version"] = 1;
      other["born"] = WallMs();
      other["seq"] = 1;
      const message answer =
          Call(worker->Agent(), "PUT", "/almondproxy/instances/" + worker->Id(),
               worker->Agent(), "", other.dump(), 1000);
      Record("another writer's heartbeat for " + worker->Id() +
             " (capacity is a text, version a number) is answered " +
             std::to_string(answer.status));
    }
    client.join();
    SleepMs(1200);
    broken += CheckTwice(job);
    if (broken > 0) break;
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** words) {
  if (count < 9) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  const std::string scenario = words[1];
  setup system;
  system.trouble = std::string(words[2]) != "0";
  record_file = std::fopen(words[3], "a");
  if (record_file == nullptr) return 2;
  system.service = words[4];
  system.control = Split(words[5]);
  system.front = Split(words[6]);
  system.ready = Split(words[7]);
  for (int i = 8; i < count; ++i) {
    const std::string pair = words[i];
    const auto equals = pair.find('=');
    system.minions.push_back(std::make_unique<minion>(
        "i-7f3a91c" + std::to_string(i - 7), pair.substr(0, equals),
        pair.substr(equals + 1), system.service));
    if (!system.minions.back()->Start()) return 2;
  }
  if (!SendConfig(system)) {
    Record("the configuration was not acknowledged");
    std::_Exit(2);
  }
  Record("configuration acknowledged");
  if (!AwaitReady(system)) {
    Record("the system is not ready");
    std::_Exit(2);
  }
  // All minions are known, and their agents connected.
  SleepMs(3000);
  int status = 2;
  if (scenario == "other-writer") status = OtherWriter(system);
  if (status == 0) Record("held");
  std::fflush(nullptr);
  std::_Exit(status);
}
