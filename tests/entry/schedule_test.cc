#include <catch2/catch.hpp>
#include <cstdlib>

#include "entry/fake_network.h"

namespace almond {
namespace {

constexpr std::uint64_t kSeeds = 1000;

/// One run with random faults: jobs are submitted while connections break and
/// agents restart.
class random_fault_run {
 public:
  explicit random_fault_run(std::uint64_t seed) : network_(3, seed) {
    network_.delay = [this] {
      return milliseconds(Chance(10) ? Below(300) : Below(20));
    };
    network_.on_end = [this](const task_end& end) {
      ++ends_[end.work.name];
      const auto* failure = std::get_if<refusal>(&end.result);
      if (failure != nullptr && failure->outcome == run_outcome::not_run) {
        not_run_.push_back(end.work.name);
      }
    };
  }

  /// @returns a description of the first violated guarantee, or an empty string
  std::string Run() {
    network_.OpenAll();
    for (int i = 0; i < 300; ++i) {
      if (Chance(15)) SubmitJob();
      if (Chance(4)) InjectFault();
      if (Chance(5)) CancelJob();
      Reconnect();
      network_.Step();
    }
    for (auto& agent : network_.agents) agent->mode = {};
    for (int i = 0; i < 900; ++i) {
      Reconnect();
      network_.Step();
    }
    return FindViolation();
  }

 private:
  bool Chance(std::uint64_t percent) { return Below(100) < percent; }
  std::uint64_t Below(std::uint64_t bound) { return network_.random() % bound; }

  void SubmitJob() {
    auto tasks =
        network_.MakeTasks(1 + Below(6), milliseconds(200 + Below(3000)));
    const uuid id = tasks.front().name.submission;
    submissions_.push_back(id);
    tasks_ += tasks.size();
    const std::size_t count = tasks.size();
    network_.jobs.Submit(std::move(tasks),
                         [this, id, count](const job_result& answer) {
                           OnAnswer(id, count, answer);
                         });
  }

  void OnAnswer(const uuid& id, std::size_t count, const job_result& answer) {
    ++answers_[id];
    if (const auto* complete = std::get_if<job_success>(&answer)) {
      if (complete->bodies.size() != count) violation_ = "partial answer";
      for (std::uint32_t i = 0; i < complete->bodies.size(); ++i) {
        if (complete->bodies[i] != "result of " + ToString({id, i})) {
          violation_ = "answer of another task";
        }
      }
    } else if (std::get<job_failure>(answer).cause.outcome ==
               run_outcome::not_run) {
      for (std::uint32_t i = 0; i < count; ++i) not_run_.push_back({id, i});
    }
  }

  void CancelJob() {
    if (submissions_.empty()) return;
    network_.jobs.Cancel(submissions_[Below(submissions_.size())]);
  }

  void InjectFault() {
    const std::size_t agent = Below(network_.agents.size());
    const auto links = network_.LinksOf(agent);
    switch (Below(7)) {
      case 0:
        if (!links.empty()) network_.Close(links.back(), Chance(50));
        return;
      case 1:
        if (!links.empty()) network_.Silence(links.back());
        return;
      case 2:
        network_.Open(agent);
        return;
      case 3:
        network_.Restart(agent);
        return;
      case 4:
        if (!links.empty()) {
          network_.Stall(links.back(), milliseconds(Below(2000)));
        }
        return;
      case 5:
        network_.agents[agent]->mode.fails = Chance(50);
        return;
      default:
        network_.agents[agent]->mode.refuses = Chance(30);
    }
  }

  // Agents reconnect after some time; the previous connection may still be
  // open.
  void Reconnect() {
    for (std::size_t i = 0; i < network_.agents.size(); ++i) {
      if (Chance(1)) {
        const auto links = network_.LinksOf(i);
        if (!links.empty() && Chance(50)) network_.Close(links.front());
        network_.Open(i);
      }
    }
  }

  std::string FindViolation() const {
    if (!violation_.empty()) return violation_;
    for (const auto& [name, count] : network_.starts) {
      if (count > 1) return "started twice: " + ToString(name);
    }
    if (ends_.size() != tasks_) return "a task has not ended";
    for (const auto& [name, count] : ends_) {
      if (count != 1) return "ended twice: " + ToString(name);
    }
    for (const uuid& id : submissions_) {
      const auto found = answers_.find(id);
      if (found == answers_.end()) return "no answer: " + id.ToString();
      if (found->second != 1) return "answered twice: " + id.ToString();
    }
    for (const task_name& name : not_run_) {
      if (network_.starts.count(name) > 0) {
        return "reported not-run but started: " + ToString(name);
      }
    }
    if (network_.dispatch.InFlight() + network_.dispatch.Queued() +
            network_.jobs.size() >
        0) {
      return "state left over after all tasks ended";
    }
    return "";
  }

  fake_network network_;
  std::vector<uuid> submissions_;
  std::map<uuid, int> answers_;
  std::map<task_name, int> ends_;
  std::vector<task_name> not_run_;
  std::size_t tasks_ = 0;
  std::string violation_;
};

// Guards against duplicate starts, misattributed or duplicate answers, wrong
// "not-run" outcomes and leaked state under any order of faults.
TEST_CASE("start protocol / random faults / guarantees hold for every seed") {
  std::uint64_t first = 1;
  std::uint64_t last = kSeeds;
  if (const char* one = std::getenv("ALMOND_SEED")) {
    first = last = std::strtoull(one, nullptr, 10);
  }
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string violation = random_fault_run(seed).Run();
    INFO("reproduce: ALMOND_SEED=" << seed << " build/release/test_entry");
    INFO(violation);
    REQUIRE(violation.empty());
  }
}

}  // namespace
}  // namespace almond
