// A client leaves before its deadline: it closes its side of the connection, and
// reads what still comes.
#include "system.h"

using namespace review;

namespace {

constexpr std::int64_t kWorkMs = 760;
constexpr std::int64_t kDeadlineMs = 1500;
constexpr int kRounds = 18;
/// One of so many clients leaves.
constexpr int kLeavers = 3;

}  // namespace

int main(int count, char** arguments) {
  record written(count > 1 ? arguments[1] : "record.txt");
  const bool trouble = Trouble();
  written.Write("trouble: %s", trouble ? "yes" : "no");
  system_of_three system(written);
  if (!system.PutConfig(system.Config(1).dump()) || !system.AwaitReady()) {
    written.Write("the system did not become ready");
    return kNotRun;
  }
  written.Write("the system is ready");
  Sleep(1500);
  std::map<std::string, int> answers;
  for (int round = 0; round < kRounds; ++round) {
    char id[20];
    std::snprintf(id, sizeof(id), "9d0e7a21d94b%04x", 0x3600 + round);
    const json body = {
        {"spec", std::to_string(kWorkMs)},
        {"best_effort", true},
        {"steps", {{{"count", 4}, {"cpu", 1600}, {"mem_mb", 64}, {"est_ms", kWorkMs}}}}};
    const int fd = Connect(system_of_three::EdgeIp(round / kLeavers % 3), kFrontPort);
    if (fd < 0 ||
        !SendAll(fd, Request("POST", std::string(system_of_three::kPrefix) + id,
                             system_of_three::kHost, body.dump(),
                             {{"X-Almondproxy-Deadline-Ms",
                               std::to_string(kDeadlineMs)}}))) {
      return kNotRun;
    }
    written.Write("client: POST %s sent to entry %d", id, round / kLeavers % 3);
    Sleep(300);
    if (trouble && round % kLeavers == 0) {
      shutdown(fd, SHUT_WR);
      written.Write("client: leaves; it has closed its side of the connection");
    }
    const auto answer = reader(fd).Next(kDeadlineMs + 1000);
    answers[id] = answer ? answer->Status() : 0;
    written.Write("client: answer to %s: %d %s", id, answers[id],
                  answer ? answer->body.c_str() : "");
    close(fd);
    Sleep(200);
  }
  // REFUSED: a task starts, and all client attempts to hand its job in were
  // rejected: 429 or 503, "the job was not accepted and never runs".
  int broken = 0;
  int complete = 0;
  for (const auto& [id, status] : answers) {
    if (status == 200) ++complete;
    if (status != 429 && status != 503) continue;
    for (const run_span& span : system.Book().Spans()) {
      if (span.task.substr(0, 16) != id) continue;
      ++broken;
      written.Write("REFUSED: %s was started (on %s) and the only attempt was answered %d",
                    span.task.c_str(), span.minion.c_str(), status);
    }
  }
  written.Write("%d of %d jobs complete; %d starts for jobs that were rejected", complete,
                kRounds, broken);
  if (broken > 0) return kBroken;
  return trouble || complete == kRounds ? kHeld : kNotRun;
}
