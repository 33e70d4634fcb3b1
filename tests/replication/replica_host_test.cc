#include "libalmond/processes/replica_host.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <boost/leaf.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <sstream>

#include "failing_sync.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/storage/storage_error.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

/// Three replicas on loopback in one event loop. A wait ends as soon as its
/// condition holds; kLimit only ends a test that would hang.
class replica_host_fixture {
 protected:
  static constexpr milliseconds kLimit{60000};
  static constexpr int kReplicas = 3;

  struct node {
    metrics_registry metrics;
    std::vector<std::string> commands;
    std::unique_ptr<replica_host> host;
  };

  replica_host_fixture() {
    // All ports are bound at the same time, so that they differ.
    std::vector<std::unique_ptr<peer_listener>> listeners;
    for (int i = 0; i < kReplicas; ++i) {
      listeners.push_back(std::make_unique<peer_listener>(
          loop_, clock_, [](const std::shared_ptr<peer_link>&) {}));
      REQUIRE(listeners.back()->Listen({"127.0.0.1", 0}));
      settings_.replicas.push_back(
          {replica_id(std::string(1, static_cast<char>('a' + i))),
           listeners.back()->Address(),
           {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}});
    }
    settings_.cluster = "test";
    settings_.snapshot_after_entries = 50;
  }

  std::string Start(int index, bool bootstrap) {
    node& subject = nodes_[index];
    subject.commands.clear();
    replica_host_settings settings = settings_;
    settings.self = settings.replicas[index].id;
    settings.data_folder = Folder(index);
    settings.bootstrap = bootstrap;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_ASSIGN(
              subject.host,
              replica_host::Start(loop_, clock_, random_, subject.metrics,
                                  settings, Machine(subject)));
          return std::string();
        },
        [](const storage_error& error) { return error.ToString(); },
        [](const replica_host_error& error) { return error.message; },
        [] { return std::string("an error of another type"); });
  }
  static replica_host::state_machine Machine(node& subject) {
    replica_host::state_machine machine;
    machine.apply = [&subject](log_index, const std::string& command) {
      subject.commands.push_back(command);
      return std::to_string(subject.commands.size());
    };
    machine.snapshot = [&subject] {
      std::string state;
      for (const std::string& command : subject.commands) {
        state += command + "\n";
      }
      return state;
    };
    machine.restore = [&subject](const std::string& state) {
      subject.commands.clear();
      std::istringstream in(state);
      for (std::string line; std::getline(in, line);) {
        subject.commands.push_back(line);
      }
    };
    return machine;
  }
  std::string Folder(int index) const {
    return folder_.File(settings_.replicas[index].id.Value());
  }

  /// @returns the number that the file system has given to the log file
  std::uint64_t LogFileNumber(int index) const {
    struct stat status {};
    stat((Folder(index) + "/log").c_str(), &status);
    return status.st_ino;
  }

  /// Runs the loop until the condition holds.
  /// @returns false if kLimit was reached
  bool Await(const std::function<bool()>& condition) {
    bool held = false;
    const event_handle limit = loop_.After(kLimit, [this] { loop_.Stop(); });
    const event_handle poll = loop_.Every(milliseconds(5), [&] {
      held = condition();
      if (held) loop_.Stop();
    });
    loop_.Run();
    return held;
  }
  int Leader() const {
    for (int i = 0; i < kReplicas; ++i) {
      if (nodes_[i].host && nodes_[i].host->IsLeader()) return i;
    }
    return -1;
  }
  bool AwaitLeader() {
    return Await([this] { return Leader() >= 0; });
  }
  /// Proposes commands concurrently until `count` more are committed. Proposals
  /// that fail because the leader changed on a slow machine are replaced by new
  /// ones.
  /// @returns false if kLimit was reached
  bool CommitAll(std::size_t count) {
    const std::size_t goal = committed_.size() + count;
    std::size_t pending = 0;
    return Await([&, this] {
      const int leader = Leader();
      while (leader >= 0 && committed_.size() + pending < goal) {
        ++pending;
        const std::string command = "c" + std::to_string(next_++);
        nodes_[leader].host->Propose(
            command, [&, command](const proposal_result& result) {
              --pending;
              if (result.outcome == proposal_outcome::committed) {
                committed_.insert(command);
              }
            });
      }
      return committed_.size() >= goal && pending == 0;
    });
  }
  /// Waits until all replicas have the same state with all committed commands.
  bool AwaitEqual() {
    return Await([this] {
      const auto& commands = nodes_[0].commands;
      const std::set<std::string> found(commands.begin(), commands.end());
      return commands == nodes_[1].commands && commands == nodes_[2].commands &&
             std::includes(found.begin(), found.end(), committed_.begin(),
                           committed_.end());
    });
  }

  /// Runs the loop for a fixed time.
  void RunLoopFor(milliseconds time) {
    const event_handle end = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }
  /// While an object of this class exists, files cannot grow, as on a full
  /// disk.
  class full_disk {
   public:
    full_disk() {
      getrlimit(RLIMIT_FSIZE, &before_);
      const rlimit none{0, before_.rlim_max};
      setrlimit(RLIMIT_FSIZE, &none);
    }
    ~full_disk() { setrlimit(RLIMIT_FSIZE, &before_); }
    full_disk(const full_disk&) = delete;
    full_disk& operator=(const full_disk&) = delete;

   private:
    rlimit before_{};
  };

  event_loop loop_;
  system_clock clock_;
  std::mt19937_64 random_{1};
  temporary_folder folder_;
  replica_host_settings settings_;
  std::array<node, kReplicas> nodes_;
  std::size_t next_ = 0;
  std::set<std::string> committed_;
};

// Guards against a process that exits repeatedly while its disk is full, and
// against the acknowledgement of a command that is not on disk.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / disk full for a while / no commit until there "
                 "is space again") {
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, true) == "");
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(5));
  bool committed = false;
  const auto on_end = [&committed](const proposal_result& result) {
    committed = result.outcome == proposal_outcome::committed;
  };
  {
    const full_disk full;
    nodes_[Leader()].host->Propose("unwritten", on_end);
    RunLoopFor(milliseconds(300));
    CHECK_FALSE(committed);
    RunLoopFor(milliseconds(1000));
    CHECK(Leader() < 0);
  }
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(5));
  REQUIRE(AwaitEqual());
}

// Guards against a process that ends when its disk fails a sync, and against
// the acknowledgement of a command that is not on disk.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / syncs fail for a while / no commit until they "
                 "succeed again") {
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, true) == "");
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(5));
  bool committed = false;
  const auto on_end = [&committed](const proposal_result& result) {
    committed = result.outcome == proposal_outcome::committed;
  };
  {
    const failing_sync failing;
    nodes_[Leader()].host->Propose("unwritten", on_end);
    RunLoopFor(milliseconds(300));
    CHECK_FALSE(committed);
    RunLoopFor(milliseconds(1000));
    CHECK(Leader() < 0);
  }
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(5));
  REQUIRE(AwaitEqual());
}

// Guards against bytes of a failed sync that are taken for durable because a
// later sync of the same file succeeds.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / sync failed once / log is written into a new "
                 "file") {
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, true) == "");
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(5));
  std::vector<std::uint64_t> files;
  files.reserve(kReplicas);
  for (int i = 0; i < kReplicas; ++i) files.push_back(LogFileNumber(i));
  {
    const failing_sync failing;
    nodes_[Leader()].host->Propose("unwritten", [](const auto&) {});
    REQUIRE(Await([this] { return Leader() < 0; }));
  }
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(5));
  CHECK(Await([&] {
    std::size_t replaced = 0;
    for (int i = 0; i < kReplicas; ++i) {
      replaced += LogFileNumber(i) != files[i] ? 1 : 0;
    }
    return replaced > 0;
  }));
  for (int i = 0; i < kReplicas; ++i) nodes_[i].host.reset();
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, false) == "");
  REQUIRE(AwaitLeader());
  REQUIRE(AwaitEqual());
}

// Guards against a log that does not commit over real connections and files,
// that syncs each of many proposals separately, or that is lost by a restart or
// an emptied data folder.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / restart and empty folder / state is kept") {
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, true) == "");
  REQUIRE(AwaitLeader());
  const counter& syncs =
      nodes_[Leader()].metrics.Counter("almond_log_syncs_total");
  const std::uint64_t before = syncs.Value();
  REQUIRE(CommitAll(200));
  CHECK(syncs.Value() - before < 100);
  REQUIRE(AwaitEqual());

  for (int i = 0; i < kReplicas; ++i) nodes_[i].host.reset();
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, false) == "");
  REQUIRE(AwaitLeader());
  REQUIRE(CommitAll(10));
  REQUIRE(AwaitEqual());

  const int emptied = (Leader() + 1) % kReplicas;
  nodes_[emptied].host.reset();
  std::filesystem::remove_all(Folder(emptied));
  REQUIRE(Start(emptied, false) == "");
  CHECK_FALSE(nodes_[emptied].host->Status().admitted);
  REQUIRE(Await([&] { return nodes_[emptied].host->Status().admitted; }));
  REQUIRE(CommitAll(10));
  CHECK(AwaitEqual());
}

// Guards against reads from a replica that is not the leader, and against
// callers that cannot find the leader.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / read / only the leader confirms it") {
  for (int i = 0; i < kReplicas; ++i) REQUIRE(Start(i, true) == "");
  REQUIRE(AwaitLeader());
  const int leader = Leader();
  std::map<int, bool> confirmed;
  const auto refused = std::make_shared<proposal_outcome>();
  *refused = proposal_outcome::committed;
  for (int i = 0; i < kReplicas; ++i) {
    nodes_[i].host->ConfirmRead(
        [&confirmed, i](bool ok) { confirmed.emplace(i, ok); });
  }
  nodes_[(leader + 1) % kReplicas].host->Propose(
      "x",
      [refused](const proposal_result& result) { *refused = result.outcome; });
  REQUIRE(Await([&] { return confirmed.size() == kReplicas; }));
  for (const auto& [index, ok] : confirmed) CHECK(ok == (index == leader));
  CHECK(*refused == proposal_outcome::not_leader);
  for (const node& subject : nodes_) {
    REQUIRE(Await([&] { return subject.host->Leader().has_value(); }));
    CHECK(subject.host->Leader()->service.port == leader + 1);
  }
}

// Guards against reads that wait for ever where there are no other replicas.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / single replica / read is confirmed") {
  settings_.replicas.resize(1);
  REQUIRE(Start(0, true) == "");
  REQUIRE(AwaitLeader());
  bool confirmed = false;
  nodes_[0].host->ConfirmRead([&confirmed](bool ok) { confirmed = ok; });
  RunLoopFor(milliseconds(500));
  CHECK(confirmed);
}

// Guards against a start with invalid settings or a folder of another cluster.
TEST_CASE_METHOD(replica_host_fixture,
                 "replica host / invalid settings / error names the cause") {
  REQUIRE(Start(0, true) == "");
  nodes_[1].host.reset();
  const auto original = settings_;
  settings_.replicas[1].id = settings_.replicas[0].id;
  CHECK(Start(1, true).find("is listed twice") != std::string::npos);
  settings_ = original;
  settings_.replicas.pop_back();
  CHECK(Start(1, true) == "the number of replicas is not odd");
  settings_ = original;
  settings_.cluster = "two\nlines";
  CHECK(Start(1, true) == "the cluster id is not a name");
  settings_ = original;
  settings_.replicas[1].replication = settings_.replicas[0].replication;
  CHECK(Start(1, true) == "the replication address cannot be bound");
  nodes_[0].host.reset();
  settings_ = original;
  settings_.cluster = "other";
  CHECK(Start(0, false).find("belongs to the cluster") != std::string::npos);
}

}  // namespace
}  // namespace almond
