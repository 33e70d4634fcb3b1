#include "libalmond/operator_commands/config_commands.h"

#include <ctime>
#include <iomanip>
#include <set>

#include "libalmond/config/config_loader.h"
#include "libalmond/core/uuid.h"
#include "libalmond/operator_commands/control_api_client.h"
#include "libalmond/operator_commands/http_exchange.h"
#include "libalmond/operator_commands/json_reply.h"
#include "libalmond/operator_commands/line_diff.h"
#include "libalmond/operator_commands/reply_printer.h"

namespace almond {
namespace {

using nlohmann::json;

constexpr const char* kConfigPath = "/v1/config";
constexpr int kOk = 200;

/// Limit on the time without progress of a call to an entry or agent.
constexpr milliseconds kProcessTimeout{5000};

bool ReadFile(const operator_context& context, const std::string& name,
              std::string& text) {
  const auto content = context.read_file(name);
  if (!content) context.err << "cannot read the file " << name << "\n";
  text = content.value_or("");
  return content.has_value();
}

bool ReadDocument(const command_line& line, const operator_context& context,
                  config_document& document) {
  bool complete = ReadFile(context, line.Text("base"), document.base);
  for (const auto& [data_centre, file] : line.Overlays()) {
    std::string& text = document.overlays[data_centre_id(data_centre)];
    complete = ReadFile(context, file, text) && complete;
  }
  return complete;
}

json ErrorsAsJson(const std::vector<config_error>& errors) {
  json list = json::array();
  for (const config_error& error : errors) {
    list.push_back({{"file", error.file},
                    {"key", error.key},
                    {"expected", error.expected}});
  }
  return {{"reason", "invalid-configuration"}, {"errors", list}};
}

// Keys may contain invalid UTF-8 from the file, on which dump() would throw by
// default.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Reads and checks the files; prints the errors.
exit_code CheckedDocument(const command_line& line,
                          const operator_context& context,
                          config_document& document) {
  if (!ReadDocument(line, context, document)) return exit_code::usage;
  const std::vector<config_error> errors = CheckDocument(document);
  if (errors.empty()) return exit_code::success;
  if (line.Has("json")) context.out << Dump(ErrorsAsJson(errors)) << "\n";
  context.err << "invalid configuration, " << errors.size() << " errors\n";
  PrintErrors(context.err, errors);
  return exit_code::refused;
}

void PrintVersion(std::ostream& out, const json& body) {
  out << "version " << NumberMember(body, "version") << "\ndigest "
      << TextMember(body, "digest") << "\n";
}

std::string ChangeId(const command_line& line,
                     const operator_context& context) {
  if (line.Has("change-id")) return line.Text("change-id");
  std::string id =
      uuid::MakeV7(context.clock.WallNow(), context.random).ToString();
  // Printed before the request, so that an interrupted apply can be repeated.
  context.err << "change id " << id << "\n";
  return id;
}

json Encode(const config_document& document) {
  json body = {{"base", document.base}, {"overlays", json::object()}};
  for (const auto& [data_centre, text] : document.overlays) {
    body["overlays"][data_centre.Value()] = text;
  }
  return body;
}

// Formats a time in UTC. Takes any number of milliseconds, as it may come from
// a malformed reply.
std::string UtcTime(milliseconds since_epoch) {
  const std::time_t seconds =
      std::chrono::floor<std::chrono::seconds>(since_epoch).count();
  std::tm parts{};
  std::string text(sizeof("YYYY-MM-DDTHH:MM:SSZ") + 8, '\0');
  if (gmtime_r(&seconds, &parts) == nullptr) return "-";
  text.resize(
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
  return text;
}

void PrintHistory(std::ostream& out, const json& body) {
  out << std::right << std::setw(8) << "version"
      << "  " << std::left << std::setw(20) << "accepted (UTC)"
      << "  " << std::setw(36) << "change id"
      << "  digest\n";
  const json& changes = Member(body, "changes");
  if (!changes.is_array()) return;
  for (const json& change : changes) {
    out << std::right << std::setw(8) << NumberMember(change, "version") << "  "
        << std::left << std::setw(20)
        << UtcTime(milliseconds(NumberMember(change, "accepted_ms"))) << "  "
        << std::setw(36) << TextMember(change, "change_id") << "  "
        << TextMember(change, "digest") << "\n";
  }
}

void PrintDocument(std::ostream& out, const json& body) {
  PrintVersion(out, body);
  out << "--- base\n" << TextMember(body, "base");
  const json& overlays = Member(body, "overlays");
  if (!overlays.is_object()) return;
  for (const auto& [data_centre, text] : overlays.items()) {
    out << "--- overlay " << data_centre << "\n"
        << TextMember(overlays, data_centre);
  }
}

std::string DiffOfFile(const std::string& name, const std::string& old_text,
                       const std::string& new_text, const std::string& from,
                       const std::string& to) {
  return UnifiedDiff(old_text, new_text, name + " (version " + from + ")",
                     name + " (version " + to + ")");
}

std::string DiffOfDocuments(const command_line& line, const json& before,
                            const json& after) {
  const std::string from = line.Text("from");
  const std::string to = line.Text("to");
  std::string text = DiffOfFile("base", TextMember(before, "base"),
                                TextMember(after, "base"), from, to);
  const json& old_overlays = Member(before, "overlays");
  const json& new_overlays = Member(after, "overlays");
  std::set<std::string> names;
  for (const json* overlays : {&old_overlays, &new_overlays}) {
    if (!overlays->is_object()) continue;
    for (const auto& [name, overlay] : overlays->items()) names.insert(name);
  }
  for (const std::string& name : names) {
    text += DiffOfFile("overlay " + name, TextMember(old_overlays, name),
                       TextMember(new_overlays, name), from, to);
  }
  return text;
}

}  // namespace

exit_code ConfigCheck(const command_line& line,
                      const operator_context& context) {
  config_document document;
  const exit_code code = CheckedDocument(line, context, document);
  if (code != exit_code::success) return code;
  if (line.Has("json")) {
    const json reply = {{"valid", true}, {"digest", document.Digest()}};
    context.out << Dump(reply) << "\n";
  } else {
    context.out << "valid: base file and " << document.overlays.size()
                << " overlays\ndigest " << document.Digest() << "\n";
  }
  return code;
}

exit_code ConfigApply(const command_line& line,
                      const operator_context& context) {
  config_document document;
  const exit_code checked = CheckedDocument(line, context, document);
  if (checked != exit_code::success) return checked;
  const std::string change_id = ChangeId(line, context);
  json body = Encode(document);
  body["expect_version"] = line.Number("expect-version", 0);
  body["change_id"] = change_id;
  control_api_client client(context, line.Addresses("control"));
  const control_answer answer =
      client.Call({"POST",
                   kConfigPath,
                   "",
                   {{"Content-Type", "application/json"}},
                   body.dump()});
  if (answer.outcome == control_outcome::outcome_unknown) {
    context.err << "resend with --change-id " << change_id << "\n";
  }
  return PrintControlAnswer(line, context, answer, [&](const json& reply) {
    PrintVersion(context.out, reply);
  });
}

exit_code ConfigShow(const command_line& line,
                     const operator_context& context) {
  std::vector<socket_address> processes = line.Addresses("entry");
  for (const socket_address& agent : line.Addresses("agent")) {
    processes.push_back(agent);
  }
  if (processes.size() > 1) {
    context.err << "config show takes --entry or --agent, not both\n";
    return exit_code::usage;
  }
  if (processes.empty()) {
    return PrintFromControl(
        line, context, kConfigPath, "",
        [&](const json& body) { PrintDocument(context.out, body); });
  }
  const http_call_result result =
      SendAndWait(context.loop, processes.front(),
                  {"GET", kConfigPath, "", {}, {}}, kProcessTimeout);
  return PrintProcessAnswer(line, context, result, [&](const json& body) {
    PrintVersion(context.out, body);
    context.out << (BooleanMember(body, "confirmed") ? "confirmed\n"
                                                     : "not confirmed\n");
  });
}

exit_code ConfigHistory(const command_line& line,
                        const operator_context& context) {
  return PrintFromControl(
      line, context, "/v1/config/history", "",
      [&](const json& body) { PrintHistory(context.out, body); });
}

exit_code ConfigDiff(const command_line& line,
                     const operator_context& context) {
  control_api_client client(context, line.Addresses("control"));
  std::vector<json> versions;
  for (const std::string flag : {"from", "to"}) {
    const control_answer answer =
        client.Call({"GET", kConfigPath, "version=" + line.Text(flag), {}, {}});
    const bool found = answer.outcome == control_outcome::answered &&
                       answer.response.status == kOk;
    if (!found) return PrintControlAnswer(line, context, answer, [](auto&) {});
    versions.push_back(ParseReply(answer.response.body));
  }
  if (line.Has("json")) {
    context.out << Dump({{"from", versions[0]}, {"to", versions[1]}}) << "\n";
  } else {
    context.out << DiffOfDocuments(line, versions[0], versions[1]);
  }
  return exit_code::success;
}

}  // namespace almond
