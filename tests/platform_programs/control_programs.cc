#include "platform_programs/control_programs.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "libalmond/net/http_client.h"
#include "libalmond/net/peer_listener.h"

namespace almond {
namespace {

constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kRetryPeriod{50};
constexpr int kMaxRedirects = 2;

socket_address LocationAddress(const http_response& response) {
  constexpr std::string_view kScheme = "http://";
  std::string location = HeaderValue(response.headers, "Location");
  if (!location.starts_with(kScheme)) return {};
  location.erase(0, kScheme.size());
  return socket_address::Parse(location.substr(0, location.find('/')))
      .value_or(socket_address());
}

}  // namespace

control_programs::control_programs(std::size_t machines, int tolerated_losses)
    : tolerated_losses_(tolerated_losses), processes_(machines, 0) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "programs.XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  ChoosePorts();
  for (std::size_t i = 0; i < machines; ++i) Start(i, true);
}

control_programs::~control_programs() {
  for (std::size_t i = 0; i < processes_.size(); ++i) Kill(i);
  std::filesystem::remove_all(folder_);
}

std::string control_programs::Ip(std::size_t machine) const {
  return "127.0.1." + std::to_string(machine + 1);
}

std::string control_programs::DataFolder(std::size_t machine) const {
  return folder_ + "/" + std::to_string(machine);
}

std::string control_programs::LogPath(std::size_t machine) const {
  return folder_ + "/log." + std::to_string(machine);
}

std::string control_programs::Logs() const {
  std::string logs;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    std::ifstream log(LogPath(i));
    logs += "machine-" + std::to_string(i) + ":\n";
    logs.append(std::istreambuf_iterator<char>(log), {});
  }
  return logs;
}

std::string control_programs::SeedList() const {
  std::string seeds;
  for (std::size_t i = 0; i < processes_.size(); i += 2) {
    if (!seeds.empty()) seeds += ",";
    seeds += socket_address{Ip(i), http_port_}.ToString();
  }
  return seeds;
}

void control_programs::ChoosePorts() {
  std::mt19937 random(std::random_device{}());
  // Below the ports that the system assigns to outgoing connections.
  std::uniform_int_distribution<std::uint16_t> choose(10000, 32000);
  constexpr std::uint16_t kPorts = 3;
  const auto all_free = [this](std::uint16_t first) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      for (std::uint16_t port = first; port < first + kPorts; ++port) {
        peer_listener probe(loop_, clock_, [](const auto&) {});
        if (!probe.Listen({Ip(i), port})) return false;
      }
    }
    return true;
  };
  do {
    http_port_ = choose(random);
  } while (!all_free(http_port_));
  first_port_ = static_cast<std::uint16_t>(http_port_ + 1);
}

void control_programs::Start(std::size_t machine, bool bootstrap) {
  const std::string program =
      std::string(ALMOND_PROGRAM_FOLDER) + "/almond-controld";
  std::vector<std::string> arguments = {
      program,
      "--platform",
      "--id=machine-" + std::to_string(machine),
      "--data_centre=zone-" + std::to_string(machine / 2),
      "--data_centres=zone-0,zone-1,zone-2",
      "--ip=" + Ip(machine),
      "--seeds=" + SeedList(),
      "--port_range=" + std::to_string(first_port_) + "," +
          std::to_string(first_port_ + 15),
      "--listen_http=" + socket_address{Ip(machine), http_port_}.ToString(),
      "--data_dir=" + DataFolder(machine),
      std::string("--bootstrap=") + (bootstrap ? "true" : "false"),
      "--undefok=tolerated_losses",
      "--tolerated_losses=" + std::to_string(tolerated_losses_)};
  std::filesystem::create_directories(DataFolder(machine));
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string log = LogPath(machine);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  REQUIRE(posix_spawn(&processes_[machine], program.c_str(), &files, nullptr,
                      pointers.data(), environ) == 0);
  posix_spawn_file_actions_destroy(&files);
}

void control_programs::Kill(std::size_t machine) {
  const pid_t process = std::exchange(processes_[machine], 0);
  if (process == 0) return;
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
}

void control_programs::EmptyDisk(std::size_t machine) {
  std::filesystem::remove_all(DataFolder(machine));
}

void control_programs::Wait(milliseconds time) {
  loop_.Post(time, [this] { loop_.Stop(); });
  loop_.Run();
}

std::optional<http_response> control_programs::CallOne(
    const socket_address& address, const http_request& request) {
  std::optional<http_call_result> end;
  SendHttpRequest(loop_, address, request, kCallTimeout,
                  [&](const http_call_result& result) {
                    end = result;
                    loop_.Stop();
                  });
  while (!end) loop_.Run();
  if (end->outcome != http_call_outcome::answered) return std::nullopt;
  return end->response;
}

std::optional<std::string> control_programs::Call(const std::string& method,
                                                  const std::string& path,
                                                  const std::string& body,
                                                  milliseconds limit) {
  const steady_time deadline = clock_.SteadyNow() + limit;
  const http_request request{method, path, "", {}, body};
  for (std::size_t next = 0; clock_.SteadyNow() < deadline; ++next) {
    socket_address address{Ip(next % processes_.size()), http_port_};
    for (int hop = 0; hop <= kMaxRedirects && address.port != 0; ++hop) {
      const auto response = CallOne(address, request);
      if (response && response->status == 200) return response->body;
      address = response && response->status == 307 ? LocationAddress(*response)
                                                    : socket_address();
    }
    Wait(kRetryPeriod);
  }
  return std::nullopt;
}

bool control_programs::WaitUntil(milliseconds limit,
                                 const std::function<bool()>& condition) {
  const steady_time deadline = clock_.SteadyNow() + limit;
  while (!condition()) {
    if (clock_.SteadyNow() >= deadline) return false;
    Wait(kRetryPeriod);
  }
  return true;
}

std::vector<replica_liveness> control_programs::AdmittedReplicas() {
  const auto status = Call("GET", "/v1/status", "", kCallTimeout);
  if (!status) return {};
  const auto body = nlohmann::json::parse(*status, nullptr, false);
  for (const auto& replica : body["replicas"]) {
    if (replica["admitted"] != true) return {};
  }
  return ParseReplicaLiveness(*status).value_or(
      std::vector<replica_liveness>());
}

bool control_programs::AwaitAdmitted(std::size_t replicas, milliseconds limit) {
  return WaitUntil(limit,
                   [&] { return AdmittedReplicas().size() >= replicas; });
}

bool control_programs::AwaitClaimed(std::size_t machine, milliseconds limit) {
  return WaitUntil(limit, [&] {
    const auto replicas = AdmittedReplicas();
    return !replicas.empty() &&
           std::none_of(replicas.begin(), replicas.end(),
                        [&](const replica_liveness& replica) {
                          return replica.address.peer.ip == Ip(machine);
                        });
  });
}

std::string control_programs::AdmittedIncarnation(std::size_t seed) {
  const auto status = Call("GET", "/v1/status", "", kCallTimeout);
  if (!status) return "";
  const auto body = nlohmann::json::parse(*status, nullptr, false);
  for (const auto& replica : body["replicas"]) {
    if (replica["id"] == Ip(seed)) return replica.value("incarnation", "");
  }
  return "";
}

bool control_programs::AwaitReplaced(std::size_t seed,
                                     const std::string& incarnation,
                                     milliseconds limit) {
  return WaitUntil(limit, [&] {
    const std::string now = AdmittedIncarnation(seed);
    return !now.empty() && now != incarnation;
  });
}

bool control_programs::IsStandby(std::size_t machine) const {
  const auto stored = LoadAssignment(DataFolder(machine));
  return stored && *stored && (*stored)->id.empty();
}

bool control_programs::AwaitStandby(std::size_t machine, milliseconds limit) {
  return WaitUntil(limit, [&] { return IsStandby(machine); });
}

bool control_programs::AwaitStandbys(std::size_t count, milliseconds limit) {
  return WaitUntil(limit, [&] {
    std::size_t standbys = 0;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      standbys += IsStandby(i) ? 1 : 0;
    }
    return standbys == count;
  });
}

}  // namespace almond
