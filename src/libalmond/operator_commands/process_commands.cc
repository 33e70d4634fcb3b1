#include "libalmond/operator_commands/process_commands.h"

#include <algorithm>
#include <iomanip>

#include "libalmond/operator_commands/http_exchange.h"
#include "libalmond/operator_commands/json_reply.h"
#include "libalmond/operator_commands/reply_printer.h"
#include "libalmond/report/report_layout.h"

namespace almond {
namespace {

using nlohmann::json;

/// Limit on the time without progress of a call.
constexpr milliseconds kProcessTimeout{5000};
/// Largest timeout that a configuration may allow.
constexpr milliseconds kMaxJobTimeout = std::chrono::minutes(10);
/// Time after the deadline within which an entry answers.
constexpr milliseconds kResponseMargin{5000};
constexpr int kOk = 200;
constexpr std::uint64_t kDefaultInterval = 1000;  // milliseconds
constexpr std::uint64_t kMaxInterval = 600'000;   // milliseconds

void PrintLagging(std::ostream& out, const json& processes,
                  std::uint64_t newest) {
  for (const json& process : processes) {
    if (NumberMember(process, "version") == newest) continue;
    out << "lags: " << std::left << std::setw(6) << TextMember(process, "role")
        << " " << std::setw(24) << TextMember(process, "id") << " "
        << std::setw(16) << TextMember(process, "data_centre") << " "
        << std::setw(22) << TextMember(process, "http_address") << " version "
        << NumberMember(process, "version") << ", heard "
        << NumberMember(process, "age_ms") << " ms ago\n";
  }
}

void PrintReplicas(std::ostream& out, const json& replicas) {
  for (const json& replica : replicas) {
    out << "replica " << TextMember(replica, "id") << ": "
        << TextMember(replica, "role");
    // The leader knows its own log position only, and when it last heard from
    // the others.
    if (replica.contains("term")) {
      out << ", term " << NumberMember(replica, "term") << ", commit index "
          << NumberMember(replica, "commit_index");
    }
    if (replica.contains("silent_ms")) {
      out << ", heard " << NumberMember(replica, "silent_ms") << " ms ago";
    }
    out << (BooleanMember(replica, "admitted") ? "" : ", not admitted") << "\n";
  }
}

void PrintEvacuations(std::ostream& out, const json& evacuations) {
  const json& names = Member(evacuations, "data_centres");
  if (!names.is_array() || names.empty()) return;
  out << "evacuated:";
  for (const json& name : names) {
    out << " " << (name.is_string() ? name.get<std::string>() : "?");
  }
  out << ", revision " << NumberMember(evacuations, "revision") << "\n";
}

void PrintStatus(std::ostream& out, const json& body) {
  const std::uint64_t newest = NumberMember(body, "newest");
  const json& processes = Member(body, "processes");
  const auto count = [&](const auto& matches) {
    return std::count_if(processes.begin(), processes.end(), matches);
  };
  out << "newest version " << newest << ", leader "
      << TextMember(body, "leader") << "\n";
  if (processes.is_array()) {
    for (const std::string role : {"entry", "agent"}) {
      const auto is_role = [&](const json& process) {
        return TextMember(process, "role") == role;
      };
      out << role << ": " << count([&](const json& process) {
        return is_role(process) && NumberMember(process, "version") == newest;
      }) << " of "
          << count(is_role) << " at the newest version, "
          << count([&](const json& process) {
               return is_role(process) && BooleanMember(process, "leaving");
             })
          << " leaving\n";
    }
    PrintLagging(out, processes, newest);
  }
  PrintEvacuations(out, Member(body, "evacuations"));
  const json& replicas = Member(body, "replicas");
  if (replicas.is_array()) PrintReplicas(out, replicas);
}

std::optional<metrics_text> Scrape(const operator_context& context,
                                   const socket_address& address) {
  const http_call_result result = SendAndWait(
      context.loop, address, {"GET", "/metrics", "", {}, {}}, kProcessTimeout);
  if (result.outcome != http_call_outcome::answered ||
      result.response.status != kOk) {
    return std::nullopt;
  }
  return metrics_text::Parse(result.response.body);
}

void PrintReport(const command_line& line, const operator_context& context,
                 const std::vector<process_report>& processes) {
  if (!line.Has("json")) {
    context.out << FormatReport(processes);
    return;
  }
  json report = json::object();
  for (const process_report& process : processes) {
    report[process.name] =
        process.metrics ? json(process.metrics->Samples()) : json();
  }
  context.out << report.dump(-1, ' ', false, json::error_handler_t::replace)
              << "\n";
}

bool IsPathSegment(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

http_request JobRequest(const command_line& line, const std::string& job) {
  http_request request;
  request.method = "POST";
  request.path = "/v1/services/" + line.Text("service") + "/jobs";
  request.headers.emplace_back("Content-Type", "application/json");
  const auto add = [&](const std::string& flag, const std::string& header) {
    if (line.Has(flag)) request.headers.emplace_back(header, line.Text(flag));
  };
  add("kind", "Almond-Kind");
  add("submission", "Almond-Submission");
  add("timeout", "Almond-Timeout-Ms");
  request.body = job;
  return request;
}

void PrintJob(std::ostream& out, const json& body) {
  out << "state " << TextMember(body, "state") << "\n";
  const std::string reason = TextMember(body, "reason");
  if (!reason.empty()) out << "reason " << reason << "\n";
  const json& results = Member(body, "results");
  if (!results.is_array()) return;
  std::size_t index = 0;
  for (const json& result : results) {
    out << "task " << index++ << ": status " << NumberMember(result, "status")
        << ": " << TextMember(result, "body") << "\n";
  }
}

}  // namespace

exit_code Status(const command_line& line, const operator_context& context) {
  return PrintFromControl(
      line, context, "/v1/status", "",
      [&](const json& body) { PrintStatus(context.out, body); });
}

exit_code Evacuate(const command_line& line, const operator_context& context) {
  const std::string name = line.Text("data-centre");
  if (name.empty() || !IsPathSegment(name)) {
    context.err << "--data-centre: expected lower-case letters, digits and "
                   "hyphens\n";
    return exit_code::usage;
  }
  const bool withdraw = line.Has("withdraw");
  control_api_client client(context, line.Addresses("control"));
  const control_answer answer = client.Call(
      {withdraw ? "DELETE" : "PUT", "/v1/evacuations/" + name, "", {}, {}});
  return PrintControlAnswer(line, context, answer, [&](const json& body) {
    context.out << name << (withdraw ? " is taken back" : " is evacuated")
                << ", revision " << NumberMember(body, "revision") << "\n";
  });
}

exit_code Report(const command_line& line, const operator_context& context) {
  const milliseconds interval(static_cast<milliseconds::rep>(
      std::min(line.Number("interval", kDefaultInterval), kMaxInterval)));
  const std::vector<socket_address> entries = line.Addresses("entry");
  std::vector<process_report> processes;
  std::vector<steady_time> scrape_starts;
  for (const socket_address& entry : entries) {
    process_report process;
    process.name = "http://" + entry.ToString();
    if (interval.count() > 0) process.earlier = Scrape(context, entry);
    scrape_starts.push_back(context.clock.SteadyNow());
    processes.push_back(process);
  }
  if (interval.count() > 0) RunFor(context.loop, interval);
  exit_code code = exit_code::success;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    processes[i].metrics = Scrape(context, entries[i]);
    processes[i].interval = context.clock.SteadyNow() - scrape_starts[i];
    if (processes[i].metrics) continue;
    context.err << processes[i].name << " returned no metrics\n";
    code = exit_code::no_answer;
  }
  PrintReport(line, context, processes);
  return code;
}

exit_code Drain(const command_line& line, const operator_context& context) {
  const http_call_result result =
      SendAndWait(context.loop, line.Addresses("agent").front(),
                  {"DELETE", "/v1/endpoint", "", {}, {}}, kProcessTimeout);
  return PrintProcessAnswer(line, context, result, [&](const json& /*body*/) {
    context.out << "the endpoint is leaving\n";
  });
}

exit_code Submit(const command_line& line, const operator_context& context) {
  if (!IsPathSegment(line.Text("service"))) {
    context.err << "--service: expected lower-case letters, digits and "
                   "hyphens\n";
    return exit_code::usage;
  }
  const auto job = context.read_file(line.Text("job"));
  if (!job) {
    context.err << "cannot read the file " << line.Text("job") << "\n";
    return exit_code::usage;
  }
  const auto longest = static_cast<std::uint64_t>(kMaxJobTimeout.count());
  const milliseconds deadline(static_cast<milliseconds::rep>(
      std::min(line.Number("timeout", longest), longest)));
  const http_call_result result =
      SendAndWait(context.loop, line.Addresses("entry").front(),
                  JobRequest(line, *job), deadline + kResponseMargin);
  const exit_code code = PrintProcessAnswer(
      line, context, result,
      [&](const json& body) { PrintJob(context.out, body); });
  if (code != exit_code::success) return code;
  const json body = ParseReply(result.response.body);
  if (TextMember(body, "state") == "complete") return exit_code::success;
  return TextMember(body, "outcome") == "unknown" ? exit_code::no_answer
                                                  : exit_code::refused;
}

}  // namespace almond
