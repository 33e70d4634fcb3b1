// Hundreds of changes of a configuration with many routes, then all processes
// of the core are killed at once and started again. The platform kills a process
// that uses more than its memory_mb, and starts it again.
#include "system.h"

using namespace review;

namespace {

constexpr int kRoutes = 2100;
constexpr int kChanges = 300;
constexpr long kMemoryMb = 260;
constexpr std::int64_t kRestartMs = 300;
constexpr std::int64_t kRecoveryMs = 12000;
constexpr std::int64_t kContactMs = 3000;

long ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6) / 1024;
  }
  return 0;
}

/// The platform: kills what uses too much memory, and starts again what ended.
class platform {
 public:
  platform(system_of_three& system, record& written)
      : system_(system), record_(written), thread_([this] { Watch(); }) {}
  ~platform() {
    stop_ = true;
    thread_.join();
  }
  int Killed() const { return killed_; }
  long Most() const { return most_; }
  void Pause(bool paused) {
    const std::lock_guard lock(mutex_);
    paused_ = paused;
  }

 private:
  void Watch() {
    std::int64_t down_since[3] = {-1, -1, -1};
    while (!stop_) {
      {
        const std::lock_guard lock(mutex_);
        for (int i = 0; i < 3 && !paused_; ++i) Check(i, down_since[i]);
      }
      Sleep(5);
    }
  }
  void Check(int number, std::int64_t& down_since) {
    program& watched = system_.Control(number);
    if (watched.Ended()) {
      if (down_since < 0) down_since = NowMs();
      if (NowMs() - down_since < kRestartMs) return;
      down_since = -1;
      watched.Start();
      record_.Write("platform: control %d is started", number);
      return;
    }
    const long used = ResidentMb(watched.Pid());
    most_ = std::max(most_.load(), used);
    if (used <= kMemoryMb) return;
    record_.Write("platform: control %d uses %ld MB and is killed", number, used);
    ++killed_;
    watched.Signal(SIGKILL, true);
  }

  system_of_three& system_;
  record& record_;
  std::mutex mutex_;
  bool paused_ = false;
  std::atomic<bool> stop_ = false;
  std::atomic<int> killed_ = 0;
  std::atomic<long> most_ = 0;
  std::thread thread_;
};

/// @returns the version that a node gives, or 0
std::uint64_t ReadBack(int edge) {
  std::string ip = system_of_three::EdgeIp(edge);
  for (int hops = 0; hops < 3; ++hops) {
    const auto answer =
        Call(ip, kControlPort, Request("GET", "/almondproxy/config", ip, ""), 1000);
    if (!answer) return 0;
    if (answer->Status() == 200) {
      const json body = json::parse(answer->body, nullptr, false);
      return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
    }
    if (answer->Status() != 307) return 0;
    const auto header = answer->headers.find("location");
    if (header == answer->headers.end()) return 0;
    const std::size_t from = header->second.find("//") + 2;
    ip = header->second.substr(from, header->second.find(':', from) - from);
  }
  return 0;
}

}  // namespace

int main(int count, char** arguments) {
  record written(count > 1 ? arguments[1] : "record.txt");
  const bool trouble = Trouble();
  written.Write("trouble: %s", trouble ? "yes" : "no");
  deployment size;
  size.jobs = false;
  system_of_three system(written, size);
  platform watched(system, written);
  json config = system.Config(1);
  const json pattern = config["routes"][0];
  for (int i = 1; i < kRoutes; ++i) {
    json added = pattern;
    char text[40];
    std::snprintf(text, sizeof(text), "r-%07x", i * 7919);
    added["name"] = text;
    std::snprintf(text, sizeof(text), "/p%05d/", i);
    added["path_prefix"] = text;
    config["routes"].push_back(added);
  }
  if (!system.PutConfig(config.dump())) {
    written.Write("the first configuration was not acknowledged");
    return kNotRun;
  }
  written.Write("operator: version 1 acknowledged, %zu bytes, %d routes",
                config.dump().size(), kRoutes);
  std::uint64_t acknowledged = 1;
  for (std::uint64_t version = 2; version <= kChanges; ++version) {
    config["version"] = version;
    config["routes"][0]["timeout_ms"] = 1500 + version;
    if (!system.PutConfig(config.dump())) {
      written.Write("operator: version %llu was not acknowledged",
                    static_cast<unsigned long long>(version));
      return kNotRun;
    }
    acknowledged = version;
    if (version % 50 == 0) {
      written.Write("operator: version %llu acknowledged; at most %ld MB are in use",
                    static_cast<unsigned long long>(version), watched.Most());
    }
  }
  const int killed_before = watched.Killed();
  if (killed_before > 0) {
    written.Write("a process was killed for its memory before the fault");
  }
  if (trouble) {
    watched.Pause(true);
    written.Write("all processes of the core are killed");
    system.KillAll();
    watched.Pause(false);
  }
  Sleep(kRecoveryMs);
  written.Write("%d ms later the operator reads the configuration back",
                static_cast<int>(kRecoveryMs));
  std::uint64_t newest = 0;
  const std::int64_t end = NowMs() + kContactMs;
  while (NowMs() < end && newest < acknowledged) {
    for (int i = 0; i < 3; ++i) newest = std::max(newest, ReadBack(i));
    Sleep(100);
  }
  written.Write("operator: version %llu read back, %llu acknowledged; %d kills for "
                "memory, at most %ld MB in use",
                static_cast<unsigned long long>(newest),
                static_cast<unsigned long long>(acknowledged), watched.Killed(),
                watched.Most());
  return newest < acknowledged ? kBroken : kHeld;
}
