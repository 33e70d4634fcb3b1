#include "libalmond/operator_commands/command_line.h"

#include <catch2/catch.hpp>

#include "almondctl/almondctl_fixture.h"
#include "libalmond/operator_commands/command_spec.h"

namespace almond {
namespace {

struct usage_row {
  std::vector<std::string> arguments;
  std::string message;
};

// Guards against an invalid command line that is executed, and against an exit
// code that scripts take for a refusal.
TEST_CASE_METHOD(almondctl_fixture,
                 "almondctl / invalid command line / is a clear usage error") {
  const std::string base = "--base=base.yaml";
  const std::vector<usage_row> table = {
      {{}, "a command is missing"},
      {{"--json"}, "a command is missing"},
      {{"frobnicate"}, "unknown command: frobnicate"},
      {{"config"}, "unknown command: config"},
      {{"status", "now"}, "unknown command: status now"},
      {{"status", "--colour"}, "unknown flag --colour"},
      {{"--colour", "status"}, "unknown flag --colour"},
      {{"status", base}, "unknown flag --base of the command status"},
      {{"status", "--json=yes"}, "--json takes no value"},
      {{"config", "check"}, "the command config check needs --base"},
      {{"config", "check", "--base"}, "--base needs a value"},
      {{"config", "check", "--base="}, "--base needs a value"},
      {{"config", "check", "--base", "--json"}, "--base needs a value"},
      {{"config", "check", base, base}, "--base is given twice"},
      {{"config", "check", base, "--overlay", "a"},
       "--overlay: expected DC=FILE, not a"},
      {{"config", "check", base, "--overlay", "a=f,=g"},
       "--overlay: expected DC=FILE, not =g"},
      {{"config", "check", base, "--overlay=a=f", "--overlay=a=g"},
       "--overlay: a is given twice"},
      {{"config", "check", "--base", "none.yaml", "--overlay", "a=gone"},
       "cannot read the file none.yaml\ncannot read the file gone"},
      {{"config", "apply", base, "--expect-version", "1x"},
       "--expect-version: expected a whole number, not 1x"},
      {{"config", "apply", base, "--expect-version=1", "--change-id=7"},
       "--change-id: expected a UUID, not 7"},
      {{"config", "apply", base, "--expect-version=1"},
       "needs --control or ALMOND_CONTROL"},
      {{"status", "--control", "127.0.0.1:80"},
       "--control: expected URLs http://IP:PORT"},
      {{"status", "--control", "http://127.0.0.1:80,"},
       "--control: expected URLs http://IP:PORT"},
      {{"drain", "--agent", "http://127.0.0.1:0"},
       "--agent: expected one URL http://IP:PORT"},
      {{"drain", "--agent", "http://127.0.0.1:1,http://127.0.0.1:2"},
       "--agent: expected one URL http://IP:PORT"},
      {{"config", "show", "--entry=http://127.0.0.1:1",
        "--agent=http://127.0.0.1:1"},
       "--entry or --agent, not both"},
      {{"submit", "--entry=http://127.0.0.1:1", "--service=s", "--job=job.json",
        "--kind", "a\r\nAlmond-Team: x"},
       "--kind: expected a text without control characters"},
      {{"submit", "--entry=http://127.0.0.1:1", "--service=../x",
        "--job=job.json"},
       "--service: expected lower-case letters"},
  };
  for (const usage_row& row : table) {
    INFO(row.message);
    CHECK(Run(row.arguments) == 2);
    CHECK(err_.str().find(row.message) != std::string::npos);
    CHECK(out_.str().empty());
  }
  CHECK(Run({"status"}, "localhost") == 2);
  CHECK(err_.str().find("ALMOND_CONTROL: expected URLs") != std::string::npos);
}

// Guards against a form of the flag that silently drops an overlay.
TEST_CASE_METHOD(almondctl_fixture,
                 "almondctl / overlays as list or repeated / are all read") {
  const std::vector<std::vector<std::string>> forms = {
      {"config", "check", "--base", "base.yaml", "--overlay", "a=a.yaml",
       "--overlay", "b=a.yaml"},
      {"--overlay=a=a.yaml,b=a.yaml", "config", "check", "--base=base.yaml"}};
  for (const auto& arguments : forms) {
    CHECK(Run(arguments) == 0);
    CHECK(out_.str().starts_with("valid: base file and 2 overlays\ndigest "));
  }
}

// Guards against a check that stops at the first error.
TEST_CASE_METHOD(almondctl_fixture,
                 "config check / faulty files / lists all errors and exits 1") {
  CHECK(Run({"config", "check", "--base", "bad.yaml", "--overlay",
             "z=a.yaml"}) == 1);
  CHECK(err_.str() ==
        "invalid configuration, 3 errors\n"
        "base: teams.t.weight: expected a whole number from 1 to 1000\n"
        "base: x: expected one of the keys data_centres, services, teams\n"
        "z: expected a data centre of data_centres in the base file\n");
}

// Guards against a command or flag that the help does not explain.
TEST_CASE_METHOD(almondctl_fixture,
                 "almondctl / help / shows each flag with its default") {
  CHECK(Run({"--help"}) == 0);
  CHECK(Run({"submit", "--help"}) == 0);
  const std::string help = out_.str();
  for (const command_spec& command : Commands()) {
    CHECK(help.find(command.name) != std::string::npos);
    for (const flag_spec& flag : command.flags) {
      CHECK_FALSE(flag.default_value.empty());
      CHECK(help.find("--" + flag.name) != std::string::npos);
    }
  }
  CHECK(Run({"--version"}) == 0);
  CHECK(out_.str() == "almondctl 0.1.0\n");
}

}  // namespace
}  // namespace almond
