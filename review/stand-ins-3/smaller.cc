// A minion crashes and starts again under its id, as a kind with fewer cores,
// while a job waits for it.
#include "system.h"

using namespace review;

namespace {

constexpr int kRounds = 6;
constexpr int kLargeCpu = 16000;
constexpr int kSmallCpu = 4000;
constexpr int kTaskCpu = 4000;
constexpr int kTasks = 4;
constexpr std::int64_t kWorkMs = 760;
constexpr std::int64_t kDeadlineMs = 6000;
constexpr std::int64_t kDownMs = 200;
constexpr int kFirstBeatMs = 100;

}  // namespace

int main(int count, char** arguments) {
  record written(count > 1 ? arguments[1] : "record.txt");
  const bool trouble = Trouble();
  written.Write("trouble: %s", trouble ? "yes" : "no");
  // One of eight minions crashes at a time. The tasks fit on that one only.
  deployment size;
  size.sides = 8;
  size.cpu.assign(static_cast<std::size_t>(size.sides), 2000);
  size.cpu[0] = kLargeCpu;
  system_of_three system(written, size);
  if (!system.PutConfig(system.Config(1).dump()) || !system.AwaitReady()) {
    written.Write("the system did not become ready");
    return kNotRun;
  }
  written.Write("the system is ready");
  Sleep(1500);
  std::vector<std::pair<std::int64_t, std::int64_t>> small_lives;
  int answered = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (trouble) {
      system.CrashMinion(0);
      Sleep(kDownMs / 2);
    }
    char id[20];
    std::snprintf(id, sizeof(id), "ad0e7a21d94b%04x", 0x3600 + round);
    const json body = {{"spec", std::to_string(kWorkMs)},
                       {"best_effort", true},
                       {"steps",
                        {{{"count", kTasks},
                          {"cpu", kTaskCpu},
                          {"mem_mb", 64},
                          {"est_ms", kWorkMs}}}}};
    const int fd = Connect(system_of_three::EdgeIp(round % 3), kFrontPort);
    if (fd < 0 ||
        !SendAll(fd, Request("POST", std::string(system_of_three::kPrefix) + id,
                             system_of_three::kHost, body.dump(),
                             {{"X-Almondproxy-Deadline-Ms",
                               std::to_string(kDeadlineMs)}}))) {
      return kNotRun;
    }
    written.Write("client: POST %s sent to entry %d: %d tasks of %d cores", id, round % 3,
                  kTasks, kTaskCpu / 1000);
    if (trouble) {
      Sleep(kDownMs / 2);
      const std::int64_t from = NowMs();
      system.StartMinion(0, kSmallCpu, kFirstBeatMs);
      const auto answer = reader(fd).Next(kDeadlineMs + 1000);
      written.Write("client: answer to %s: %d %s", id, answer ? answer->Status() : 0,
                    answer ? answer->body.c_str() : "");
      if (answer && answer->Status() == 200) ++answered;
      // Back to the larger kind, without work.
      Sleep(300);
      system.CrashMinion(0);
      small_lives.emplace_back(from, NowMs());
      Sleep(1500);
      system.StartMinion(0, kLargeCpu, 0);
      Sleep(2500);
    } else {
      const auto answer = reader(fd).Next(kDeadlineMs + 1000);
      written.Write("client: answer to %s: %d %s", id, answer ? answer->Status() : 0,
                    answer ? answer->body.c_str() : "");
      if (answer && answer->Status() == 200) ++answered;
    }
    close(fd);
  }
  // LIMIT: a start brings a minion that doesn't guard its `available` over it.
  const auto spans = system.Book().Spans();
  int broken = 0;
  for (const run_span& span : spans) {
    if (span.minion != "i-1") continue;
    int available = kLargeCpu;
    for (const auto& [from, to] : small_lives) {
      if (span.from >= from && span.from <= to) available = kSmallCpu;
    }
    int used = 0;
    for (const run_span& other : spans) {
      if (other.minion != span.minion) continue;
      const bool before = &other <= &span;
      if (before && other.from <= span.from && (other.to < 0 || other.to > span.from)) {
        used += kTaskCpu;
      }
    }
    if (used <= available) continue;
    ++broken;
    written.Write("LIMIT: the start of %s (run %u) brings i-1 to %d of %d cores",
                  span.task.c_str(), span.run, used / 1000, available / 1000);
  }
  written.Write("%d of %d jobs complete; %d starts over what the minion has", answered,
                kRounds, broken);
  if (broken > 0) return kBroken;
  return trouble || answered == kRounds ? kHeld : kNotRun;
}
