#include "fault_load.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "libalmond/core/uuid.h"

namespace almond {
namespace {

constexpr milliseconds kTick{5};
/// Time after the deadline of a call after which its answer counts as lost.
constexpr milliseconds kAnswerGracePeriod{3000};
/// Timeout of a resubmission; longer than the 10 s within which a submission of
/// a dead owner ends.
constexpr milliseconds kResubmissionTimeout{15000};
constexpr milliseconds kResubmitWhileRunningDelay{50};
constexpr milliseconds kResubmitAfterEndDelay{1000};
constexpr std::size_t kJobTasks = 4;

/// @returns why a call ended: "complete", the reason in the response,
///   "status-" with the status if it has none, or the connection error
std::string Reason(const http_call_result& result) {
  if (result.outcome == http_call_outcome::not_sent) return "no-connection";
  if (result.outcome == http_call_outcome::lost) return "connection-lost";
  if (result.response.status == 200) return "complete";
  const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
  if (body.is_object() && body.contains("reason")) {
    return body["reason"].get<std::string>();
  }
  return "status-" + std::to_string(result.response.status);
}

}  // namespace

fault_load::fault_load(event_loop& loop, const clock_interface& clock,
                       fault_load_settings settings)
    : loop_(loop), clock_(clock), settings_(std::move(settings)) {}

void fault_load::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  start_ = clock_.SteadyNow();
  timer_ = loop_.Every(kTick, [this] { Tick(); });
}

void fault_load::Tick() {
  const duration passed = clock_.SteadyNow() - start_;
  if (passed < settings_.length) {
    const double due =
        std::chrono::duration<double>(passed).count() * settings_.rate;
    while (static_cast<double>(works_.size()) < due) OfferWork();
    return;
  }
  if (in_flight_ > 0) return;
  if (!audited_) {
    audited_ = true;
    Audit();
    return;
  }
  timer_.Reset();
  std::exchange(on_end_, nullptr)();
}

offered_work fault_load::MakeWork() {
  // Of ten submissions six are plain requests, one is a job without id, two are
  // requests with id and one is a job with id.
  const std::size_t kind = works_.size() % 10;
  offered_work work;
  work.is_job = kind == 6 || kind == 9;
  work.idempotent = random_() % 2 == 0;
  if (kind >= 7) work.id = uuid::MakeV7(clock_.WallNow(), random_).ToString();
  for (std::size_t i = 0; i < (work.is_job ? kJobTasks : 1); ++i) {
    const int run_ms = random_() % 8 == 0 ? 600 : 60;
    work.bodies.push_back(nlohmann::json{
        {"ms", run_ms},
        {"n", std::to_string(works_.size()) + "." + std::to_string(i)}}
                              .dump());
  }
  return work;
}

void fault_load::OfferWork() {
  const std::size_t work = works_.size();
  works_.push_back(MakeWork());
  const std::size_t entry = random_() % settings_.entries.size();
  Send(work, entry, {});
  if (works_[work].id.empty() || random_() % 3 != 0) return;
  ++in_flight_;
  loop_.Post(kResubmitWhileRunningDelay, [this, work, entry] {
    --in_flight_;
    Send(work, entry + 1, {.resend = true});
  });
}

http_request fault_load::Encode(const offered_work& work,
                                milliseconds timeout) const {
  http_request request{"POST", "/v1/services/" + settings_.service, "", {}, ""};
  request.headers = {{"Almond-Timeout-Ms", std::to_string(timeout.count())},
                     {"Almond-Kind", work.idempotent ? "stock-check" : "bill"}};
  if (!work.id.empty()) {
    request.headers.emplace_back("Almond-Submission", work.id);
  }
  request.path += work.is_job ? "/jobs" : "/requests";
  if (!work.is_job) {
    request.body = work.bodies.front();
    return request;
  }
  nlohmann::json job;
  for (const std::string& body : work.bodies) {
    job["tasks"].push_back({{"body", body}});
  }
  request.body = job.dump();
  return request;
}

void fault_load::Send(std::size_t work, std::size_t entry, call_plan plan) {
  const std::size_t call = calls_.size();
  call_record record;
  record.work = work;
  record.entry = entry % settings_.entries.size();
  record.resend = plan.resend;
  record.audit = plan.audit;
  record.sent = clock_.WallNow();
  calls_.push_back(record);
  ++in_flight_;
  const milliseconds timeout =
      plan.resend ? kResubmissionTimeout : settings_.timeout;
  SendHttpRequest(loop_, settings_.entries[record.entry],
                  Encode(works_[work], timeout), timeout + kAnswerGracePeriod,
                  [this, call, plan](const http_call_result& result) {
                    OnEnd(call, plan, result);
                  });
}

void fault_load::OnEnd(std::size_t call, call_plan plan,
                       const http_call_result& result) {
  --in_flight_;
  call_record& record = calls_[call];
  record.ended = clock_.WallNow();
  record.reason = Reason(result);
  if (result.outcome == http_call_outcome::answered) {
    record.status = result.response.status;
    record.outcome = HeaderValue(result.response.headers, "Almond-Outcome");
    record.body = result.response.body;
  }
  const std::size_t work = record.work;
  const std::size_t other = record.entry + 1;
  if (result.outcome == http_call_outcome::not_sent) {
    // Nothing was written, so the call is sent to another entry, as a load
    // balancer would.
    if (plan.attempts_left-- > 0) Send(work, other, plan);
    return;
  }
  if (works_[work].id.empty() || plan.audit) return;
  if (result.outcome == http_call_outcome::lost && !plan.resend) {
    Send(work, other, {.resend = true});
  } else if (!plan.resend && random_() % 3 == 0) {
    ++in_flight_;
    loop_.Post(kResubmitAfterEndDelay, [this, work, other] {
      --in_flight_;
      Send(work, other, {.resend = true});
    });
  }
}

void fault_load::Audit() {
  // Spread over two seconds, so that the audit does not cause a load peak.
  constexpr milliseconds kSpread{2000};
  for (std::size_t work = 0; work < works_.size(); ++work) {
    if (works_[work].id.empty()) continue;
    ++in_flight_;
    const auto delay = kSpread * static_cast<std::int64_t>(work) /
                       static_cast<std::int64_t>(works_.size());
    loop_.Post(delay, [this, work] {
      --in_flight_;
      Send(work, work, {.resend = true, .audit = true});
    });
  }
}

}  // namespace almond
