#include "outside_clients/attacked_program.h"

#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <optional>

#include "libalmond/net/http_client.h"

namespace almond {
namespace {

constexpr milliseconds kAnswerLimit{20000};
constexpr milliseconds kCallTimeout{2000};
constexpr milliseconds kRetryPeriod{50};
constexpr int kMetricsPort = 9461;

/// Sets the limit on open descriptors of the programs that are started during
/// the life of this object.
class descriptor_limit {
 public:
  explicit descriptor_limit(std::size_t descriptors) {
    getrlimit(RLIMIT_NOFILE, &before_);
    if (descriptors == 0) return;
    const rlimit lowered{descriptors, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit before_{};
};

}  // namespace

attacked_program::attacked_program(const attacked_listener& listener,
                                   std::size_t descriptors) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "outside.XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  ordinary_ = {"GET", listener.path, "", {}, ""};
  const std::string name = listener.name;
  address_ = Port(name == "http" ? 0 : 1);
  if (name == "metrics") {
    const bool entry = std::string(listener.program) == "entry";
    address_ = {ip_,
                static_cast<std::uint16_t>(kMetricsPort + (entry ? 0 : 1))};
  }
  std::ofstream flags(folder_ + "/flags");
  for (const std::string& flag : Flags(listener)) flags << flag << "\n";
  flags.close();
  const descriptor_limit limit(descriptors);
  process_ = std::make_unique<piped_program>(
      "almond-" + std::string(listener.program) + "d",
      std::vector<std::string>{"--flagfile=" + folder_ + "/flags"},
      // The quarantine of freed memory would hide the bound in a build with
      // the address sanitizer.
      std::vector<std::string>{"ASAN_OPTIONS=quarantine_size_mb=4"});
  REQUIRE(Answers());
  idle_peak_mib_ = PeakMib();
  idle_descriptors_ = Descriptors();
}

attacked_program::~attacked_program() {
  process_.reset();
  std::filesystem::remove_all(folder_);
}

socket_address attacked_program::Port(int offset) const {
  return {ip_, static_cast<std::uint16_t>(first_port_ + offset)};
}

std::vector<std::string> attacked_program::Flags(
    const attacked_listener& listener) const {
  const std::string http = Port(0).ToString();
  const std::string program = listener.program;
  std::vector<std::string> flags = {
      "--id=machine",          "--data_centre=zone",
      "--listen_http=" + http, "--undefok=memory_limit_mib,max_connections",
      "--memory_limit_mib=64", "--max_connections=16"};
  const auto add = [&flags](const std::vector<std::string>& more) {
    flags.insert(flags.end(), more.begin(), more.end());
  };
  if (listener.platform) {
    add({"--platform", "--ip=" + ip_, "--seeds=" + http,
         "--port_range=" + std::to_string(first_port_ + 2) + "," +
             std::to_string(first_port_ + 7)});
    if (program == "entry") add({"--listen_ready=" + Port(1).ToString()});
    if (program == "agent") add({"--service=s"});
    if (program == "control") add({"--tolerated_losses=0"});
  } else if (program == "control") {
    add({"--replicas=machine=" + Port(2).ToString() + "/" +
         Port(3).ToString()});
  } else {
    add({"--control=" + Port(3).ToString()});
    if (program == "entry") add({"--listen_peer=" + Port(2).ToString()});
  }
  if (program == "control") {
    add({"--data_dir=" + folder_ + "/data", "--bootstrap"});
    std::filesystem::create_directories(folder_ + "/data");
  }
  return flags;
}

bool attacked_program::CallOnce() {
  std::optional<http_call_result> end;
  SendHttpRequest(loop_, address_, ordinary_, kCallTimeout,
                  [&](const http_call_result& result) {
                    end = result;
                    loop_.Stop();
                  });
  while (!end) loop_.Run();
  return end->outcome == http_call_outcome::answered;
}

bool attacked_program::Answers() {
  const steady_time deadline = clock_.SteadyNow() + kAnswerLimit;
  while (!CallOnce()) {
    if (process_->Ended() || clock_.SteadyNow() >= deadline) return false;
    process_->ReadAvailable();
    loop_.Post(kRetryPeriod, [this] { loop_.Stop(); });
    loop_.Run();
  }
  return true;
}

bool attacked_program::AwaitAddedDescriptors(std::size_t highest) {
  const steady_time deadline = clock_.SteadyNow() + kAnswerLimit;
  while (AddedDescriptors() > highest) {
    if (clock_.SteadyNow() >= deadline) return false;
    loop_.Post(kRetryPeriod, [this] { loop_.Stop(); });
    loop_.Run();
  }
  return true;
}

std::size_t attacked_program::AddedDescriptors() const {
  // The connection to a control process may have ended since the start.
  return std::max(Descriptors(), idle_descriptors_) - idle_descriptors_;
}

std::size_t attacked_program::PeakMib() const {
  std::ifstream status("/proc/" + std::to_string(process_->Id()) + "/status");
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view kField = "VmHWM:";
    if (line.starts_with(kField)) {
      return std::stoul(line.substr(kField.size())) / 1024;
    }
  }
  return 0;
}

std::size_t attacked_program::Descriptors() const {
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(process_->Id()) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(files), std::filesystem::directory_iterator()));
}

}  // namespace almond
