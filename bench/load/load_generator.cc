#include "load_generator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace almond {
namespace {

std::vector<load_step_offer> Offers(const std::vector<load_step>& profile) {
  std::vector<load_step_offer> offers;
  offers.reserve(profile.size());
  for (const load_step& step : profile) {
    offers.push_back({step.length, step.rate, 0});
  }
  return offers;
}

std::string Reason(const http_call_result& result) {
  if (result.outcome == http_call_outcome::not_sent) return "no-connection";
  if (result.outcome == http_call_outcome::lost) return "connection-lost";
  if (result.response.status == 200) return "complete";
  const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
  if (body.is_object() && body.contains("reason") &&
      body["reason"].is_string()) {
    return body["reason"].get<std::string>();
  }
  return "status-" + std::to_string(result.response.status);
}

}  // namespace

load_generator::load_generator(event_loop& loop, const clock_interface& clock,
                               load_settings settings)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      report_(Offers(settings_.profile)),
      random_(settings_.seed) {}

void load_generator::Start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  next_ = clock_.SteadyNow();
  step_end_ = next_ + settings_.profile.front().length;
  all_sent_ = !PlanNext();
  timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
}

bool load_generator::PlanNext() {
  const std::size_t tasks = std::max<std::size_t>(settings_.job_tasks, 1);
  while (true) {
    const double rate =
        settings_.profile[step_].rate / static_cast<double>(tasks);
    if (rate > 0) {
      std::exponential_distribution<double> gap(rate);
      const steady_time planned =
          next_ + std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>(gap(random_)));
      if (planned < step_end_) {
        next_ = planned;
        return true;
      }
    }
    if (step_ + 1 == settings_.profile.size()) return false;
    // Inter-arrival times of a Poisson process are memoryless, so the gap is
    // drawn again from the start of the next step.
    next_ = step_end_;
    ++step_;
    step_end_ += settings_.profile[step_].length;
  }
}

void load_generator::Tick() {
  while (!all_sent_ && next_ <= clock_.SteadyNow()) {
    Send();
    all_sent_ = ++sent_ >= settings_.max_requests || !PlanNext();
  }
  if (all_sent_ && in_flight_ == 0 && on_end_) {
    timer_.Reset();
    std::exchange(on_end_, nullptr)();
  }
}

void load_generator::Send() {
  load_sample sample;
  sample.step = step_;
  const http_request request = MakeRequest(sample);
  report_.Sent(step_, sample.tasks);
  if (in_flight_ >= settings_.max_in_flight) {
    sample.reason = "generator-limit";
    report_.Add(std::move(sample));
    return;
  }
  ++in_flight_;
  SendHttpRequest(loop_, settings_.entries[sent_ % settings_.entries.size()],
                  request, settings_.timeout + kAnswerGrace,
                  [this, sample = std::move(sample),
                   intended = next_](const http_call_result& result) {
                    OnAnswer(sample, intended, result);
                  });
}

milliseconds load_generator::DrawTask(load_sample& sample) {
  const bool is_long =
      std::bernoulli_distribution(settings_.long_share)(random_);
  const milliseconds time =
      is_long ? settings_.long_time : settings_.short_time;
  sample.has_long = sample.has_long || is_long;
  sample.ideal = std::max(sample.ideal, time);
  return time;
}

http_request load_generator::MakeRequest(load_sample& sample) {
  const auto body = [&] {
    return nlohmann::json{{"ms", DrawTask(sample).count()}}.dump();
  };
  const auto pick = [&](const std::vector<std::string>& names) {
    return names.empty() ? std::string() : names[random_() % names.size()];
  };
  http_request request;
  request.method = "POST";
  request.path = "/v1/services/" + settings_.service;
  request.headers = {
      {"Almond-Timeout-Ms", std::to_string(settings_.timeout.count())}};
  const std::string kind = pick(settings_.kinds);
  const std::string team = pick(settings_.teams);
  if (!kind.empty()) request.headers.emplace_back("Almond-Kind", kind);
  if (!team.empty()) request.headers.emplace_back("Almond-Team", team);
  if (settings_.job_tasks == 0) {
    request.path += "/requests";
    request.body = body();
    return request;
  }
  request.path += "/jobs";
  sample.tasks = settings_.job_tasks;
  nlohmann::json job;
  for (std::size_t i = 0; i < settings_.job_tasks; ++i) {
    job["tasks"].push_back({{"body", body()}});
  }
  request.body = job.dump();
  return request;
}

void load_generator::OnAnswer(load_sample sample, steady_time intended,
                              const http_call_result& result) {
  --in_flight_;
  sample.response = clock_.SteadyNow() - intended;
  sample.reason = Reason(result);
  sample.outcome = HeaderValue(result.response.headers, "Almond-Outcome");
  report_.Add(std::move(sample));
}

}  // namespace almond
