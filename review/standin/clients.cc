// Stand-ins for the clients and the operator of the platform.
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/http_client.h"
#include "standin.h"

namespace review {
namespace {

using almond::event_loop;
using almond::http_call_outcome;
using almond::http_call_result;
using nlohmann::json;
using std::chrono::milliseconds;

std::vector<almond::socket_address> Addresses(const std::string& text) {
  return *almond::socket_address::ParseList(text);
}

/// Hands in jobs at an even rate and waits for their ends.
class clients {
 public:
  explicit clients(const options& given)
      : entries_(Addresses(given.Text("entries"))),
        record_(given.Text("record")),
        body_(given.Text("job")),
        prefix_(given.Text("prefix")),
        deadline_(given.Number("deadline_ms")),
        period_(given.Number("period_ms")),
        cancel_after_(given.Number("cancel_after_ms")),
        end_(NowMs() + given.Number("length_ms")) {}

  int Run() {
    timer_ = loop_.Every(milliseconds(period_), [this] {
      if (NowMs() < end_) {
        Submit(NewId(), 1);
      } else if (open_ == 0 || NowMs() > end_ + 2 * deadline_) {
        loop_.Stop();
      }
    });
    loop_.Run();
    return EXIT_SUCCESS;
  }

 private:
  std::string NewId() {
    constexpr const char* kDigits = "0123456789abcdef";
    std::string id;
    for (int i = 0; i < 16; ++i) id += kDigits[random_() % 16];
    return id;
  }

  void Submit(const std::string& id, int attempt) {
    const almond::socket_address entry = entries_[next_++ % entries_.size()];
    ++open_;
    record_.Write({{"who", "client"},
                   {"event", "sent"},
                   {"job", id},
                   {"attempt", attempt},
                   {"to", entry.ToString()}});
    if (cancel_after_ > 0) {
      loop_.Post(milliseconds(cancel_after_),
                 [this, id, entry] { Cancel(id, entry); });
    }
    almond::SendHttpRequest(
        loop_, entry,
        {"POST",
         prefix_ + id,
         "",
         {{"Content-Type", "application/json"},
          {"X-Almondproxy-Deadline-Ms", std::to_string(deadline_)}},
         body_},
        milliseconds(deadline_ + 500),
        [this, id, attempt](const http_call_result& result) {
          --open_;
          const bool answered = result.outcome == http_call_outcome::answered;
          const int status = answered ? result.response.status : 0;
          record_.Write({{"who", "client"},
                         {"event", "answer"},
                         {"job", id},
                         {"attempt", attempt},
                         {"status", status},
                         {"body", answered ? result.response.body : ""}});
          const bool again = !answered || status == 502 || status == 504;
          if (!again || attempt >= 3 || NowMs() >= end_) return;
          loop_.Post(milliseconds(kResendMs),
                     [this, id, attempt] { Submit(id, attempt + 1); });
        });
  }

  /// Cancels a job at the entry that it was sent to.
  void Cancel(const std::string& id, const almond::socket_address& entry) {
    almond::SendHttpRequest(
        loop_, entry, {"DELETE", prefix_ + id, "", {}, ""}, milliseconds(1000),
        [this, id](const http_call_result& result) {
          const bool answered = result.outcome == http_call_outcome::answered;
          record_.Write({{"who", "client"},
                         {"event", "cancelled"},
                         {"job", id},
                         {"status", answered ? result.response.status : 0}});
        });
  }

  event_loop loop_;
  almond::event_handle timer_;
  std::vector<almond::socket_address> entries_;
  record record_;
  std::string body_;
  std::string prefix_;
  std::int64_t deadline_;
  std::int64_t period_;
  std::int64_t cancel_after_;  // 0: jobs are not cancelled
  std::int64_t end_;
  std::size_t next_ = 0;
  int open_ = 0;
  std::mt19937_64 random_{std::random_device{}()};
};

/// Sends a configuration until it is acknowledged, and follows redirects.
class config_operator {
 public:
  explicit config_operator(const options& given)
      : controls_(Addresses(given.Text("controls"))),
        record_(given.Text("record")),
        body_(given.Text("config")),
        end_(NowMs() + given.Number("length_ms")) {}

  int Run() {
    Send(controls_[0], 0);
    loop_.Run();
    return acknowledged_ ? EXIT_SUCCESS : EXIT_FAILURE;
  }

 private:
  void Send(const almond::socket_address& to, int redirects) {
    almond::SendHttpRequest(
        loop_, to,
        {"PUT",
         "/almondproxy/config",
         "",
         {{"Content-Type", "application/json"}},
         body_},
        milliseconds(1000), [this, redirects](const http_call_result& result) {
          const bool answered = result.outcome == http_call_outcome::answered;
          if (answered && result.response.status == 200) {
            acknowledged_ = true;
            record_.Write({{"who", "operator"}, {"event", "acknowledged"}});
            loop_.Stop();
            return;
          }
          if (answered && result.response.status == 307 && redirects < 2) {
            const std::string location =
                almond::HeaderValue(result.response.headers, "Location");
            const std::string rest = location.substr(std::string("http://").size());
            const auto leader =
                almond::socket_address::Parse(rest.substr(0, rest.find('/')));
            if (leader) {
              Send(*leader, redirects + 1);
              return;
            }
          }
          if (NowMs() > end_) {
            loop_.Stop();
            return;
          }
          loop_.Post(milliseconds(100), [this] {
            Send(controls_[++next_ % controls_.size()], 0);
          });
        });
  }

  event_loop loop_;
  std::vector<almond::socket_address> controls_;
  record record_;
  std::string body_;
  std::int64_t end_;
  std::size_t next_ = 0;
  bool acknowledged_ = false;
};

}  // namespace

int RunClients(const options& given) { return clients(given).Run(); }
int RunOperator(const options& given) { return config_operator(given).Run(); }

}  // namespace review
