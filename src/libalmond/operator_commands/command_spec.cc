#include "libalmond/operator_commands/command_spec.h"

namespace almond {
namespace {

constexpr std::size_t kFlagWidth = 34;  // characters
constexpr const char* kRequired = "required";

flag_spec BaseFlag() {
  return {"base", flag_type::text, "FILE", "base file (YAML)", kRequired};
}

flag_spec OverlayFlag() {
  return {"overlay", flag_type::overlays, "DC=FILE[,DC=FILE]",
          "overlay file of a data centre; may be repeated", "none"};
}

flag_spec EntryFlag(const std::string& default_value) {
  return {"entry", flag_type::url, "URL", "entry that receives the request",
          default_value};
}

std::vector<command_spec> ConfigCommands() {
  const flag_spec version = {"expect-version", flag_type::number, "N",
                             "version that the change is based on; 0 if there "
                             "is none",
                             kRequired};
  const flag_spec change = {"change-id", flag_type::uuid, "UUID",
                            "id of the change; a change that is sent again "
                            "with the same id is accepted once",
                            "generated and printed"};
  const flag_spec agent = {"agent", flag_type::url, "URL", "agent to query",
                           "none"};
  const flag_spec from = {"from", flag_type::number, "N", "older version",
                          kRequired};
  const flag_spec to = {"to", flag_type::number, "N", "newer version",
                        kRequired};
  return {
      {"config check",
       "validate configuration files locally and print all errors",
       {BaseFlag(), OverlayFlag()}},
      {"config apply",
       "validate configuration files and activate them on all processes",
       {BaseFlag(), OverlayFlag(), version, change}},
      {"config show",
       "show the active version of one process, or the accepted files",
       {EntryFlag("none: the control processes"), agent}},
      {"config history", "list the accepted changes", {}},
      {"config diff", "compare two accepted versions line by line", {from, to}},
  };
}

std::vector<command_spec> ProcessCommands() {
  const flag_spec entries = {"entry", flag_type::url_list, "URL[,URL]",
                             "entries to measure", kRequired};
  const flag_spec interval = {"interval", flag_type::number, "MS",
                              "time between the two scrapes from which the "
                              "goodput is computed, in milliseconds; 0 omits "
                              "the goodput",
                              "1000"};
  const flag_spec agent = {"agent", flag_type::url, "URL",
                           "agent whose endpoint is drained", kRequired};
  const flag_spec service = {"service", flag_type::text, "NAME",
                             "service that runs the job", kRequired};
  const flag_spec kind = {"kind", flag_type::text, "NAME",
                          "kind of the job; selects the rule of the service",
                          "none: non-idempotent"};
  const flag_spec submission = {
      "submission", flag_type::uuid, "UUIDv7",
      "id of the job, with which it can be resubmitted", "none"};
  const flag_spec timeout = {"timeout", flag_type::number, "MS",
                             "deadline of the job, in milliseconds",
                             "the service's default_timeout_ms"};
  const flag_spec job = {"job", flag_type::text, "FILE|-",
                         "job (JSON); - reads standard input", kRequired};
  const flag_spec data_centre = {"data-centre", flag_type::text, "NAME",
                                 "data centre to evacuate", kRequired};
  const flag_spec withdraw = {"withdraw", flag_type::none, "",
                              "take the data centre back", "off"};
  return {
      {"status",
       "show processes by configuration version, outdated processes, replicas "
       "and evacuated data centres",
       {}},
      {"evacuate",
       "start no more tasks in a data centre; running ones end by themselves",
       {data_centre, withdraw}},
      {"report",
       "show the response times, goodput and wait times of running entries",
       {entries, interval}},
      {"drain",
       "drain the endpoint of an agent, so that it gets no new tasks",
       {agent}},
      {"submit",
       "submit a job and print the response",
       {EntryFlag(kRequired), service, kind, submission, timeout, job}},
  };
}

std::string FlagLine(const std::string& indent, const flag_spec& flag) {
  std::string usage = indent + "--" + flag.name;
  if (flag.type != flag_type::none) usage += " " + flag.value_name;
  if (usage.size() < kFlagWidth) usage.resize(kFlagWidth, ' ');
  std::string line = usage + " " + flag.help;
  if (!flag.default_value.empty()) {
    const bool required = flag.default_value == kRequired;
    line += required ? " (required)" : " (default: " + flag.default_value + ")";
  }
  return line + "\n";
}

}  // namespace

const std::vector<command_spec>& Commands() {
  static const std::vector<command_spec> commands = [] {
    std::vector<command_spec> all = ConfigCommands();
    for (command_spec& command : ProcessCommands()) {
      all.push_back(std::move(command));
    }
    return all;
  }();
  return commands;
}

const std::vector<flag_spec>& GlobalFlags() {
  static const std::vector<flag_spec> flags = {
      {"control", flag_type::url_list, "URL[,URL]",
       "control processes, tried in order until the leader answers",
       "the environment variable ALMOND_CONTROL"},
      {"json", flag_type::none, "", "print the raw JSON", "off"},
      {"help", flag_type::none, "", "print this text", "off"},
      {"version", flag_type::none, "", "print the program's version", "off"}};
  return flags;
}

std::string HelpText() {
  std::string text =
      "almondctl COMMAND [FLAGS]\n\n"
      "URLs are http://IP:PORT.\n\nCommands:\n";
  for (const command_spec& command : Commands()) {
    text += "  " + command.name + "\n      " + command.help + "\n";
    for (const flag_spec& flag : command.flags) {
      text += FlagLine("      ", flag);
    }
  }
  text += "\nFlags of every command:\n";
  for (const flag_spec& flag : GlobalFlags()) text += FlagLine("  ", flag);
  text +=
      "\nExit codes: 0 success, 1 refused by the system or invalid "
      "configuration,\n2 usage, 3 no answer or outcome unknown.\n";
  return text;
}

}  // namespace almond
