#include "libalmond/operator_commands/reply_printer.h"

#include "libalmond/operator_commands/json_reply.h"

namespace almond {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kFirstServerError = 500;

std::vector<config_error> Errors(const json& body) {
  std::vector<config_error> errors;
  const json& list = Member(body, "errors");
  if (!list.is_array()) return errors;
  for (const json& error : list) {
    errors.push_back({TextMember(error, "file"), TextMember(error, "key"),
                      TextMember(error, "expected")});
  }
  return errors;
}

// Returns the outcome from the header or the body, or an empty string.
std::string Outcome(const http_response& response) {
  std::string outcome = HeaderValue(response.headers, "Almond-Outcome");
  if (!outcome.empty()) return outcome;
  return TextMember(ParseReply(response.body), "outcome");
}

// Prints the failed tasks of a job.
void PrintTasks(std::ostream& out, const json& body) {
  const json& tasks = Member(body, "tasks");
  if (!tasks.is_array()) return;
  for (const json& task : tasks) {
    out << "task " << NumberMember(task, "index") << ": "
        << TextMember(task, "reason") << "; outcome "
        << TextMember(task, "outcome");
    const std::string detail = TextMember(task, "detail");
    out << (detail.empty() ? "" : "; ") << detail << "\n";
  }
}

exit_code PrintRefusal(const operator_context& context,
                       const http_response& response) {
  const json body = ParseReply(response.body);
  const std::string reason = TextMember(body, "reason");
  context.err << "refused: "
              << (reason.empty()
                      ? "HTTP status " + std::to_string(response.status)
                      : reason);
  if (reason == "version-conflict") {
    context.err << "; the accepted version is " << NumberMember(body, "version")
                << " with digest " << TextMember(body, "digest");
  } else if (reason == "change-id-conflict") {
    context.err << "; the change id names another change";
  }
  const std::string outcome = Outcome(response);
  if (!outcome.empty()) context.err << "; outcome " << outcome;
  const std::string detail = TextMember(body, "detail");
  if (!detail.empty()) context.err << "; " << detail;
  context.err << "\n";
  PrintErrors(context.err, Errors(body));
  PrintTasks(context.err, body);
  return outcome == "unknown" ? exit_code::no_answer : exit_code::refused;
}

exit_code PrintResponse(const command_line& line,
                        const operator_context& context,
                        const http_response& response,
                        const reply_hook& print) {
  if (line.Has("json")) context.out << response.body << "\n";
  const bool accepted = response.status == kOk || response.status == kNoContent;
  if (!accepted) return PrintRefusal(context, response);
  const json body = ParseReply(response.body);
  const bool empty = response.body.empty();
  if (!empty && body.is_discarded()) {
    context.err << "the answer is not valid JSON\n";
    return exit_code::no_answer;
  }
  if (!line.Has("json")) print(body);
  return exit_code::success;
}

}  // namespace

exit_code PrintControlAnswer(const command_line& line,
                             const operator_context& context,
                             const control_answer& answer,
                             const reply_hook& print) {
  if (answer.outcome == control_outcome::answered) {
    return PrintResponse(line, context, answer.response, print);
  }
  const bool unknown = answer.outcome == control_outcome::outcome_unknown;
  context.err << (unknown ? "no answer; the outcome is unknown\n"
                          : "no control process answered as the leader; "
                            "nothing was changed\n");
  return exit_code::no_answer;
}

exit_code PrintFromControl(const command_line& line,
                           const operator_context& context,
                           const std::string& path, const std::string& query,
                           const reply_hook& print) {
  control_api_client client(context, line.Addresses("control"));
  const control_answer answer = client.Call({"GET", path, query, {}, {}});
  return PrintControlAnswer(line, context, answer, print);
}

exit_code PrintProcessAnswer(const command_line& line,
                             const operator_context& context,
                             const http_call_result& result,
                             const reply_hook& print) {
  if (result.outcome == http_call_outcome::answered) {
    const exit_code code = PrintResponse(line, context, result.response, print);
    // After a server error without an outcome, the request may have run.
    const bool outcome_missing = result.response.status >= kFirstServerError &&
                                 Outcome(result.response).empty();
    return outcome_missing ? exit_code::no_answer : code;
  }
  const bool sent = result.outcome == http_call_outcome::lost;
  context.err << (sent ? "no answer; the outcome is unknown\n"
                       : "no connection; nothing was sent\n");
  return exit_code::no_answer;
}

void PrintErrors(std::ostream& out, const std::vector<config_error>& errors) {
  for (const config_error& error : errors) {
    out << error.file << ": ";
    if (!error.key.empty()) out << error.key << ": ";
    out << "expected " << error.expected << "\n";
  }
}

}  // namespace almond
