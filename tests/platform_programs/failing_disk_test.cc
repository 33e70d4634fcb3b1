#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "libalmond/net/http_client.h"
#include "platform_programs/soak_machine.h"

namespace almond {
namespace {

/// One control program on a machine whose syncs fail from the start.
class failing_disk_fixture {
 protected:
  static constexpr milliseconds kAnswerLimit{10000};

  failing_disk_fixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "disk.XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
  }
  ~failing_disk_fixture() {
    machine_.reset();
    std::filesystem::remove_all(folder_);
  }

  void Start() {
    std::ofstream(folder_ + "/failing").put('1');
    machine_ = std::make_unique<soak_machine>(
        clock_, "almond-controld",
        std::vector<std::string>{
            "--platform", "--id=machine", "--data_centre=zone", "--ip=" + ip_,
            "--seeds=" + http_.ToString(),
            "--port_range=" + std::to_string(http_.port + 1) + "," +
                std::to_string(http_.port + 5),
            "--listen_http=" + http_.ToString(),
            "--data_dir=" + folder_ + "/data", "--bootstrap",
            "--tolerated_losses=0"},
        folder_);
  }
  void RunFor(milliseconds time) {
    const event_handle tick =
        loop_.Every(milliseconds(10), [this] { machine_->Tick(); });
    const event_handle end = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }
  /// Sends a change until it is acknowledged.
  bool Change() {
    const steady_time deadline = clock_.SteadyNow() + kAnswerLimit;
    bool acknowledged = false;
    while (!acknowledged && clock_.SteadyNow() < deadline) {
      SendHttpRequest(
          loop_, http_,
          {"PUT",
           "/almondproxy/config",
           "",
           {},
           R"({"version":1,"services":[{"name":"s"}],"routes":[]})"},
          milliseconds(500), [&](const http_call_result& result) {
            acknowledged = result.outcome == http_call_outcome::answered &&
                           result.response.status == 200;
          });
      RunFor(milliseconds(600));
    }
    return acknowledged;
  }

  event_loop loop_;
  system_clock clock_;
  std::string folder_;
  const std::string ip_ = ChooseLoopbackNet() + "1";
  const socket_address http_{ip_, ChooseAdjacentPorts(ip_, 6)};
  std::unique_ptr<soak_machine> machine_;
};

// Guards against a process that ends again and again while its disk fails, and
// against one that does not go on once the disk works.
TEST_CASE_METHOD(failing_disk_fixture,
                 "control program / syncs fail at the start / starts once they "
                 "succeed") {
  Start();
  RunFor(milliseconds(1500));
  CHECK(machine_->OwnEnds().empty());
  machine_->SetFailingSyncs(false);
  CHECK(Change());
  CHECK(machine_->Incarnation() == 1);
}

// Guards against the same while it runs.
TEST_CASE_METHOD(failing_disk_fixture,
                 "control program / syncs fail while it runs / goes on once "
                 "they succeed") {
  Start();
  machine_->SetFailingSyncs(false);
  REQUIRE(Change());
  machine_->SetFailingSyncs(true);
  RunFor(milliseconds(1500));
  machine_->SetFailingSyncs(false);
  CHECK(Change());
  CHECK(machine_->OwnEnds().empty());
}

}  // namespace
}  // namespace almond
