#include <iostream>

#include "standin.h"

int main(int count, char** arguments) {
  const std::string role = count > 1 ? arguments[1] : "";
  const review::options given(count, arguments);
  if (role == "minion") return review::RunMinion(given);
  if (role == "clients") return review::RunClients(given);
  if (role == "operator") return review::RunOperator(given);
  if (role == "check") return review::RunCheck(given);
  if (role == "note") {
    review::record(given.Text("record"))
        .Write({{"who", "script"},
                {"event", given.Text("event")},
                {"life", given.Text("life")}});
    return 0;
  }
  std::cerr << "expected minion, clients, operator or check\n";
  return 2;
}
