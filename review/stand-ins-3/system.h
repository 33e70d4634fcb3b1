// Stand-ins for the cases of the third review: a small system of the project's
// own programs on loopback addresses, minions, clients and the operator.
//
// Everything that a stand-in says follows PROTOCOL.md. A minion keeps leases,
// fencing tokens and the lists of its runs; a client speaks plain HTTP/1.1.
#ifndef ALMOND_REVIEW_STAND_INS_3_SYSTEM_H_
#define ALMOND_REVIEW_STAND_INS_3_SYSTEM_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline steady::time_point& Origin() {
  static steady::time_point origin = steady::now();
  return origin;
}

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(steady::now() - Origin())
      .count();
}

inline void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// Writes what was sent, answered and run to record.txt.
class record {
 public:
  explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(kNotRun);
  }
  void Write(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f s  ", static_cast<double>(NowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fprintf(file_, "\n");
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---------------------------------------------------------------------------
// Sockets and HTTP

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
  return result;
}

/// @returns the socket, or -1
inline int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = Address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Closes the connection with a reset, as `reset_conns` does.
inline void Reset(int fd) {
  const linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(fd);
}

struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int Status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

/// Reads messages from one connection.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}
  /// @returns nothing at the end of the connection or after the time-out
  std::optional<message> Next(std::int64_t timeout_ms) {
    const std::int64_t end = NowMs() + timeout_ms;
    for (;;) {
      if (auto whole = Take()) return whole;
      const std::int64_t left = end - NowMs();
      if (left <= 0) return std::nullopt;
      pollfd waiting{fd_, POLLIN, 0};
      if (poll(&waiting, 1, static_cast<int>(std::min<std::int64_t>(left, 200))) <= 0) {
        continue;
      }
      char buffer[16384];
      const ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
      if (n <= 0) {
        closed_ = true;
        return std::nullopt;
      }
      held_.append(buffer, static_cast<std::size_t>(n));
    }
  }
  bool Closed() const { return closed_; }

 private:
  std::optional<message> Take() {
    const std::size_t head = held_.find("\r\n\r\n");
    if (head == std::string::npos) return std::nullopt;
    message result;
    std::size_t at = held_.find("\r\n");
    result.first_line = held_.substr(0, at);
    while (at < head) {
      const std::size_t next = held_.find("\r\n", at + 2);
      std::string line = held_.substr(at + 2, next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        result.headers[name] = line.substr(value);
      }
      at = next;
    }
    const auto length = result.headers.find("content-length");
    const std::size_t size =
        length == result.headers.end() ? 0 : std::stoul(length->second);
    if (held_.size() < head + 4 + size) return std::nullopt;
    result.body = held_.substr(head + 4, size);
    held_.erase(0, head + 4 + size);
    return result;
  }
  int fd_;
  bool closed_ = false;
  std::string held_;
};

inline std::string Request(
    const std::string& method, const std::string& path, const std::string& host,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& more = {}) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n";
  for (const auto& [name, value] : more) text += name + ": " + value + "\r\n";
  return text + "\r\n" + body;
}

/// One call on a connection of its own.
inline std::optional<message> Call(
    const std::string& ip, int port, const std::string& request,
    std::int64_t timeout_ms = 1000) {
  const int fd = Connect(ip, port);
  if (fd < 0) return std::nullopt;
  std::optional<message> answer;
  if (SendAll(fd, request)) answer = reader(fd).Next(timeout_ms);
  close(fd);
  return answer;
}

// ---------------------------------------------------------------------------
// Processes

inline constexpr int kFrontPort = 8161;
inline constexpr int kAppPort = 8165;
inline constexpr int kControlPort = 8166;
inline constexpr int kReadyPort = 8167;
inline constexpr int kFirstPort = 7720;

/// An address of this run: 127.X.Y.N. Every machine has its own, so the ports
/// of a deployment are free on each.
inline std::string Ip(int number) {
  static const unsigned chosen = [] {
    std::srand(static_cast<unsigned>(getpid()) ^
               static_cast<unsigned>(std::time(nullptr)));
    for (;;) {
      const unsigned value =
          (16 + static_cast<unsigned>(std::rand()) % 200) * 256 +
          static_cast<unsigned>(std::rand()) % 256;
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in at =
          Address("127." + std::to_string(value / 256) + "." +
                      std::to_string(value % 256) + ".11",
                  kFrontPort);
      const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
      close(fd);
      if (is_free) return value;
    }
  }();
  return "127." + std::to_string(chosen / 256) + "." +
         std::to_string(chosen % 256) + "." + std::to_string(number);
}

class program {
 public:
  program(std::string path, std::string flag_file, std::string log)
      : path_(std::move(path)),
        flag_file_(std::move(flag_file)),
        log_(std::move(log)) {
    Start();
  }
  program(const program&) = delete;
  program& operator=(const program&) = delete;
  ~program() { Signal(SIGKILL, true); }
  void Start() {
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    const std::string flags = "--flagfile=" + flag_file_;
    execl(path_.c_str(), path_.c_str(), flags.c_str(), nullptr);
    _exit(127);
  }
  /// @returns how the process ended, or nothing while it runs
  std::optional<int> Ended() {
    if (pid_ <= 0) return status_;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
    pid_ = -1;
    status_ = status;
    return status_;
  }
  void Signal(int number, bool await_end = false) {
    if (Ended() || pid_ <= 0) return;
    kill(pid_, number);
    if (!await_end) return;
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    status_ = status;
  }
  pid_t Pid() const { return pid_; }

 private:
  std::string path_;
  std::string flag_file_;
  std::string log_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// ---------------------------------------------------------------------------
// Minions

struct run_span {
  std::string task;
  std::uint32_t run = 0;
  std::string minion;
  std::int64_t from = 0;
  std::int64_t to = -1;  // -1 while it runs
  std::string how;
};

/// All runs of all minions.
class run_book {
 public:
  explicit run_book(record& written) : record_(written) {}
  std::size_t Begin(const std::string& task, std::uint32_t run,
                    const std::string& minion) {
    const std::lock_guard lock(mutex_);
    spans_.push_back({task, run, minion, NowMs(), -1, ""});
    record_.Write("minion %s: run %u of %s begins", minion.c_str(), run,
                  task.c_str());
    return spans_.size() - 1;
  }
  void End(std::size_t number, const std::string& how) {
    const std::lock_guard lock(mutex_);
    run_span& ended = spans_[number];
    ended.to = NowMs();
    ended.how = how;
    record_.Write("minion %s: run %u of %s ends: %s", ended.minion.c_str(),
                  ended.run, ended.task.c_str(), how.c_str());
  }
  std::vector<run_span> Spans() const {
    const std::lock_guard lock(mutex_);
    return spans_;
  }

 private:
  mutable std::mutex mutex_;
  record& record_;
  std::vector<run_span> spans_;
};

/// A minion as in "Running tasks" of PROTOCOL.md. The spec of a task is the
/// number of milliseconds that it works.
class minion {
 public:
  minion(run_book& book, std::string id, std::string service, std::string zone,
         std::string ip, int cpu = 16000, int first_beat_ms = 0)
      : book_(book),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        ip_(std::move(ip)),
        cpu_(cpu),
        first_beat_ms_(first_beat_ms),
        born_(std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        started_(NowMs()) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = Address(ip_, kAppPort);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(listener_, 64) != 0) {
      std::perror("minion");
      std::exit(kNotRun);
    }
    threads_.emplace_back([this] { Accept(); });
    threads_.emplace_back([this] { Work(); });
    threads_.emplace_back([this] { Beat(); });
  }
  ~minion() {
    // A crash: connections are reset, nothing runs any more.
    stop_ = true;
    changed_.notify_all();
    shutdown(listener_, SHUT_RDWR);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
      while (!running_.empty()) {
        const std::string task = running_.begin()->first;
        Finish(task, "crashed");
      }
    }
    for (std::thread& thread : threads_) thread.join();
    for (;;) {
      std::vector<std::thread> open;
      {
        const std::lock_guard lock(mutex_);
        open.swap(connections_);
      }
      if (open.empty()) break;
      for (std::thread& thread : open) thread.join();
    }
    close(listener_);
  }
  const std::string& Id() const { return id_; }
  std::size_t Running() {
    const std::lock_guard lock(mutex_);
    return running_.size();
  }

 private:
  struct active {
    std::uint32_t run = 0;
    std::int64_t ends_at = 0;
    std::int64_t began = 0;
    std::size_t span = 0;
  };

  std::int64_t Clock() const { return NowMs() - started_ + 1; }

  void Accept() {
    while (!stop_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, 100) <= 0) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      connections_.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    reader input(fd);
    while (!stop_ && !input.Closed()) {
      const auto request = input.Next(500);
      if (!request) continue;
      const auto [status, body] = Answer(*request);
      const std::string text = body.is_null() ? "" : body.dump();
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  std::pair<int, json> Answer(const message& request) {
    const auto expected = request.headers.find("x-almondproxy-expect-instance");
    if (expected != request.headers.end() && expected->second != id_) {
      return {421, nullptr};
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return {400, nullptr};
    const std::string line = request.first_line;
    std::unique_lock lock(mutex_);
    if (stop_) return {503, nullptr};
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    if (fence < fence_) return Refused("fence");
    fence_ = fence;
    if (line.starts_with("POST /almondproxy/run-start ")) return RunStart(body);
    if (line.starts_with("POST /almondproxy/run-stop ")) return RunStop(body);
    if (line.starts_with("POST /almondproxy/hold ")) return Hold(body, lock);
    return {404, nullptr};
  }

  std::pair<int, json> Refused(const char* reason) const {
    return {409, {{"clock_ms", Clock()}, {"reason", reason}}};
  }

  void Extend(const json& body) {
    const std::int64_t until = body.value("deadline_ms", std::int64_t{0});
    lease_ = std::max(lease_, std::min(until, Clock() + 1000));
  }

  std::pair<int, json> RunStart(const json& body) {
    const std::string task = body.value("task", "");
    const auto run = body.value("run", std::uint32_t{0});
    if (body.value("deadline_ms", std::int64_t{0}) <= Clock()) {
      return Refused("late");
    }
    Extend(body);
    const auto over = over_.find(task);
    if (over != over_.end() && run <= over->second) return Refused("old");
    const auto found = running_.find(task);
    if (found != running_.end()) {
      if (found->second.run == run) return {200, {{"clock_ms", Clock()}}};
      return Refused("old");
    }
    active added;
    added.run = run;
    added.began = NowMs();
    added.ends_at = NowMs() + std::atoi(body.value("spec", "0").c_str());
    added.span = book_.Begin(task, run, id_);
    running_[task] = added;
    return {200, {{"clock_ms", Clock()}}};
  }

  std::pair<int, json> RunStop(const json& body) {
    const std::string task = body.value("task", "");
    const auto run = body.value("run", std::uint32_t{0});
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.run <= run) {
      Finish(task, "stopped");
    }
    over_[task] = std::max(over_[task], run);
    return {200, {{"clock_ms", Clock()}}};
  }

  std::pair<int, json> Hold(const json& body, std::unique_lock<std::mutex>& lock) {
    Extend(body);
    const auto seen = body.value("seen_upto", std::uint64_t{0});
    while (!ended_.empty() && ended_.begin()->first <= seen) {
      ended_.erase(ended_.begin());
    }
    const auto wait = body.value("wait_ms", std::int64_t{0});
    changed_.wait_for(lock, milliseconds(wait),
                      [this] { return !ended_.empty() || stop_; });
    json running = json::array();
    for (const auto& [task, current] : running_) {
      const std::int64_t whole = std::max<std::int64_t>(1, current.ends_at - current.began);
      const std::int64_t percent = (NowMs() - current.began) * 100 / whole;
      running.push_back({task, current.run, "", std::min<std::int64_t>(percent, 100)});
    }
    json ended = json::array();
    for (const auto& [number, row] : ended_) {
      if (ended.size() == 500) break;
      ended.push_back(row);
    }
    return {200,
            {{"clock_ms", Clock()},
             {"born", born_},
             {"running", running},
             {"ended", ended}}};
  }

  void Finish(const std::string& task, const std::string& how) {
    const auto found = running_.find(task);
    const active ended = found->second;
    running_.erase(found);
    over_[task] = std::max(over_[task], ended.run);
    ++last_end_;
    ended_[last_end_] = {last_end_, task, ended.run, how, ""};
    book_.End(ended.span, how);
    changed_.notify_all();
  }

  void Work() {
    while (!stop_) {
      {
        const std::lock_guard lock(mutex_);
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, current] : running_) {
          if (NowMs() >= current.ends_at) {
            over.emplace_back(task, "done");
          } else if (Clock() > lease_) {
            over.emplace_back(task, "lapsed");
          }
        }
        for (const auto& [task, how] : over) Finish(task, how);
      }
      Sleep(2);
    }
  }

  void Beat() {
    std::uint64_t sequence = 0;
    for (int i = 0; i < first_beat_ms_ / 10 && !stop_; ++i) Sleep(10);
    while (!stop_) {
      const json body = {
          {"service", service_},
          {"address", ip_ + ":" + std::to_string(kAppPort)},
          {"zone", zone_},
          {"version", "v1"},
          {"capacity", 8},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"available", {{"cpu", cpu_}, {"mem_mb", 32768}}},
          {"labels", {"a", "r1-1"}},
          {"clock_ms", Clock()},
          {"born", born_},
          {"seq", ++sequence}};
      Call(ip_, kControlPort,
           Request("PUT", "/almondproxy/instances/" + id_, ip_, body.dump()));
      for (int i = 0; i < 30 && !stop_; ++i) Sleep(50);
    }
  }

  run_book& book_;
  std::string id_;
  std::string service_;
  std::string zone_;
  std::string ip_;
  int cpu_;
  int first_beat_ms_;
  std::int64_t born_;
  std::int64_t started_;
  int listener_ = -1;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_ = 0;
  std::map<std::string, active> running_;
  std::map<std::string, std::uint32_t> over_;
  std::map<std::uint64_t, json> ended_;
  std::uint64_t last_end_ = 0;
  std::vector<std::thread> threads_;
  std::vector<std::thread> connections_;
  std::set<int> open_;
};

// ---------------------------------------------------------------------------
// A small deployment: three edge machines, each with an entry and a control
// process, and side machines, each with an agent and a minion.

struct deployment {
  int sides = 3;
  /// Cores of the minions, in thousandths; 16 cores where none is given.
  std::vector<int> cpu;
  bool jobs = true;  // without: only the control processes
};

class system_of_three {
 public:
  static constexpr const char* kZones[] = {"nl-west-a", "nl-west-b", "nl-west-c"};
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";
  static constexpr const char* kService = "huvo11a";

  explicit system_of_three(record& written, deployment size = {})
      : record_(written), book_(written) {
    char folder[] = "/tmp/almond-review-XXXXXX";
    folder_ = mkdtemp(folder);
    for (int i = 0; i < 3; ++i) {
      seeds_ += (i > 0 ? "," : "") + EdgeIp(i) + ":" + std::to_string(kControlPort);
    }
    for (int i = 0; i < 3; ++i) {
      StartControl(i, true);
      if (size.jobs) StartEntry(i);
    }
    for (int i = 0; size.jobs && i < size.sides; ++i) {
      const auto at = static_cast<std::size_t>(i);
      StartSide(i, at < size.cpu.size() ? size.cpu[at] : 16000);
    }
  }
  ~system_of_three() {
    minions_.clear();
    programs_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  static std::string EdgeIp(int number) { return Ip(11 + number); }
  static std::string SideIp(int number) { return Ip(51 + number); }
  run_book& Book() { return book_; }
  program& Control(int number) { return *programs_.at("control-" + std::to_string(number)); }
  program& Entry(int number) { return *programs_.at("entry-" + std::to_string(number)); }
  program& Agent(int number) { return *programs_.at("agent-" + std::to_string(number)); }
  minion& Minion(int number) { return *minions_.at(static_cast<std::size_t>(number)); }
  const std::string& Folder() const { return folder_; }

  json Config(std::uint64_t version, int timeout_ms = 10000) const {
    return {{"version", version},
            {"routes",
             {{{"name", "r-1"},
               {"host", kHost},
               {"path_prefix", kPrefix},
               {"type", "non_idempotent"},
               {"timeout_ms", timeout_ms},
               {"slo_ms", 60},
               {"priority", 0},
               {"service", kService},
               {"attempts", 2},
               {"stretch", 1.6}}}},
            {"services",
             {{{"name", kService},
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
  }

  /// Sends a configuration as the operator does: to any node, following 307.
  /// @returns true once it was acknowledged
  bool PutConfig(const std::string& text, std::int64_t patience_ms = 20000) {
    const std::int64_t end = NowMs() + patience_ms;
    int edge = 0;
    while (NowMs() < end) {
      std::string ip = EdgeIp(leader_ >= 0 ? leader_ : edge++ % 3);
      const auto answer =
          Call(ip, kControlPort, Request("PUT", "/almondproxy/config", ip, text), 2000);
      if (answer && answer->Status() == 200) return true;
      if (answer && answer->Status() == 307) {
        leader_ = -1;
        const auto header = answer->headers.find("location");
        const std::string to = header == answer->headers.end() ? "" : header->second;
        for (int i = 0; i < 3; ++i) {
          if (to.find("//" + EdgeIp(i) + ":") != std::string::npos) leader_ = i;
        }
        continue;
      }
      leader_ = -1;
      Sleep(100);
    }
    return false;
  }

  /// Waits until all entries are ready.
  bool AwaitReady(std::int64_t patience_ms = 20000) {
    const std::int64_t end = NowMs() + patience_ms;
    while (NowMs() < end) {
      int ready = 0;
      for (int i = 0; i < 3; ++i) {
        const auto answer =
            Call(EdgeIp(i), kReadyPort,
                 Request("GET", "/almondproxy/readyz", EdgeIp(i), ""));
        if (answer && answer->Status() == 200) ++ready;
      }
      if (ready == 3) return true;
      Sleep(100);
    }
    return false;
  }

  void StartControl(int number, bool bootstrap) {
    const std::string data = folder_ + "/data-" + std::to_string(number);
    std::filesystem::create_directories(data);
    const std::string file = Flags("control-" + std::to_string(number)) ;
    std::ofstream(file) << "--platform\n--id=edge-" << kZones[number]
                        << "-1\n--data_centre=" << kZones[number]
                        << "\n--data_centres=nl-west-a,nl-west-b,nl-west-c\n--ip="
                        << EdgeIp(number) << "\n--seeds=" << seeds_
                        << "\n--port_range=7720,7735\n--listen_http="
                        << EdgeIp(number) << ":" << kControlPort
                        << "\n--data_dir=" << data << "\n--bootstrap="
                        << (bootstrap ? "true" : "false")
                        << "\n--tolerated_losses=1\n--max_replicas=9\n"
                           "--memory_limit_mib=260\n--max_descriptors=4100\n";
    Run("almond-controld", "control-" + std::to_string(number), file);
  }
  void StartEntry(int number) {
    const std::string file = Flags("entry-" + std::to_string(number));
    std::ofstream(file) << "--platform\n--id=edge-" << kZones[number]
                        << "-1\n--data_centre=" << kZones[number] << "\n--ip="
                        << EdgeIp(number) << "\n--seeds=" << seeds_
                        << "\n--port_range=7720,7735\n--listen_http="
                        << EdgeIp(number) << ":" << kFrontPort
                        << "\n--listen_ready=" << EdgeIp(number) << ":"
                        << kReadyPort
                        << "\n--memory_limit_mib=260\n--max_descriptors=4100\n";
    Run("almond-entryd", "entry-" + std::to_string(number), file);
  }
  void StartSide(int number, int cpu) {
    const char* zone = kZones[number % 3];
    const std::string file = Flags("agent-" + std::to_string(number));
    std::ofstream(file) << "--platform\n--id=side-" << zone << "-" << number / 3 + 1
                        << "\n--data_centre=" << zone << "\n--ip="
                        << SideIp(number) << "\n--seeds=" << seeds_
                        << "\n--port_range=7720,7735\n--listen_http="
                        << SideIp(number) << ":" << kControlPort
                        << "\n--service=" << kService
                        << "\n--memory_limit_mib=128\n--max_descriptors=4096\n";
    Run("almond-agentd", "agent-" + std::to_string(number), file);
    minions_.emplace_back();
    StartMinion(number, cpu, 0);
  }
  /// Starts a minion, also again under the id that it had.
  void StartMinion(int number, int cpu, int first_beat_ms) {
    record_.Write("minion i-%d starts with %d cores", number + 1, cpu / 1000);
    minions_[static_cast<std::size_t>(number)] = std::make_unique<minion>(
        book_, "i-" + std::to_string(number + 1), kService, kZones[number % 3],
        SideIp(number), cpu, first_beat_ms);
  }
  void CrashMinion(int number) {
    record_.Write("minion i-%d crashes", number + 1);
    minions_[static_cast<std::size_t>(number)].reset();
  }
  /// Ends all programs at once, as a loss of power of the machines would.
  void KillAll() {
    for (auto& [name, running] : programs_) running->Signal(SIGKILL, true);
  }

 private:
  std::string Flags(const std::string& name) const { return folder_ + "/" + name + ".flags"; }
  void Run(const std::string& binary, const std::string& name, const std::string& file) {
    programs_[name] = std::make_unique<program>("target/" + binary, file,
                                                folder_ + "/" + name + ".log");
  }

  record& record_;
  run_book book_;
  std::string folder_;
  std::string seeds_;
  int leader_ = -1;
  std::map<std::string, std::unique_ptr<program>> programs_;
  std::vector<std::unique_ptr<minion>> minions_;
};

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review

#endif  // ALMOND_REVIEW_STAND_INS_3_SYSTEM_H_
