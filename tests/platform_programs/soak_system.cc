#include "platform_programs/soak_system.h"

#include <filesystem>
#include <nlohmann/json.hpp>

#include "libalmond/net/http_client.h"

namespace almond {
namespace {

constexpr milliseconds kTickPeriod{10};
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kResendPeriod{300};
constexpr int kRoutesPerVersion = 3;
constexpr std::uint16_t kPortCount = 8;

nlohmann::json Configuration(int version) {
  nlohmann::json routes = nlohmann::json::array();
  for (int route = std::max(1, version - kRoutesPerVersion + 1);
       route <= version; ++route) {
    routes.push_back({{"name", "r-" + std::to_string(route)},
                      {"host", "h" + std::to_string(route) + ".example"},
                      {"path_prefix", "/x/"},
                      {"timeout_ms", 1500},
                      {"service", "s"}});
  }
  return {{"version", version},
          {"services", {{{"name", "s"}}}},
          {"routes", std::move(routes)}};
}

std::optional<socket_address> RedirectAddress(const http_response& response) {
  if (response.status != 307) return std::nullopt;
  constexpr std::string_view kScheme = "http://";
  std::string location = HeaderValue(response.headers, "Location");
  if (!location.starts_with(kScheme)) return std::nullopt;
  location.erase(0, kScheme.size());
  return socket_address::Parse(location.substr(0, location.find('/')));
}

}  // namespace

soak_system::soak_system(std::mt19937_64& random, std::size_t controls,
                         std::size_t entries)
    : random_(random),
      net_(ChooseLoopbackNet()),
      first_port_(ChooseAdjacentPorts(Ip(0), kPortCount)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "soak.XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  StartMachines(controls, entries);
  tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
}

soak_system::~soak_system() {
  controls_.clear();
  entries_.clear();
  if (findings_.empty()) std::filesystem::remove_all(folder_);
}

std::string soak_system::Ip(std::size_t machine) const {
  return net_ + std::to_string(machine + 1);
}

socket_address soak_system::Http(std::size_t machine) const {
  return {Ip(machine), first_port_};
}

void soak_system::StartMachines(std::size_t controls, std::size_t entries) {
  std::string seeds;
  for (std::size_t i = 0; i < controls; ++i) {
    if (i > 0) seeds += ",";
    seeds += Http(i).ToString();
  }
  for (std::size_t i = 0; i < controls + entries; ++i) {
    const bool control = i < controls;
    const std::string folder = folder_ + "/" + std::to_string(i);
    std::vector<std::string> arguments = {
        "--platform",
        "--id=machine-" + std::to_string(i),
        "--data_centre=zone-" + std::to_string(i % 3),
        "--ip=" + Ip(i),
        "--seeds=" + seeds,
        "--port_range=" + std::to_string(first_port_ + 2) + "," +
            std::to_string(first_port_ + kPortCount - 1),
        "--listen_http=" + Http(i).ToString()};
    if (control) {
      arguments.insert(arguments.end(),
                       {"--data_dir=" + folder + "/data", "--bootstrap",
                        "--tolerated_losses=1"});
    } else {
      const socket_address ready{Ip(i),
                                 static_cast<std::uint16_t>(first_port_ + 1)};
      arguments.push_back("--listen_ready=" + ready.ToString());
      views_.emplace_back().connections =
          std::make_unique<http_connection_pool>(loop_, clock_, Http(i));
    }
    (control ? controls_ : entries_)
        .push_back(std::make_unique<soak_machine>(
            clock_, control ? "almond-controld" : "almond-entryd", arguments,
            folder));
  }
}

void soak_system::RunFor(milliseconds time) {
  const event_handle end = loop_.After(time, [this] { loop_.Stop(); });
  loop_.Run();
}

void soak_system::Tick() {
  for (auto* machines : {&controls_, &entries_}) {
    for (const auto& machine : *machines) machine->Tick();
  }
  const steady_time now = clock_.SteadyNow();
  std::uniform_int_distribution<std::size_t> control(0, controls_.size() - 1);
  if (now >= next_change_) {
    if (changing_) ++sent_;
    const bool resend = acknowledged_ < sent_;
    if (changing_ || resend) SendChange(sent_, control(random_));
    std::uniform_int_distribution<int> pause(20, 150);
    next_change_ =
        now + (changing_ ? milliseconds(pause(random_)) : kResendPeriod);
  }
  ReadConfiguration(control(random_));
  std::uniform_int_distribution<int> back(0, 2 * kRoutesPerVersion);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->Running()) AskEntry(i, std::max(1, sent_ - back(random_)));
  }
}

void soak_system::SendChange(int version, std::size_t control) {
  const http_request request{
      "PUT", "/almondproxy/config", "", {}, Configuration(version).dump()};
  const auto on_end = [this, version](const http_call_result& result) {
    const bool done = result.outcome == http_call_outcome::answered &&
                      result.response.status == 200;
    if (done) OnAcknowledged(version);
  };
  const auto on_first_end = [this, request,
                             on_end](const http_call_result& result) {
    on_end(result);
    if (result.outcome != http_call_outcome::answered) return;
    const auto leader = RedirectAddress(result.response);
    if (leader) SendHttpRequest(loop_, *leader, request, kCallTimeout, on_end);
  };
  SendHttpRequest(loop_, Http(control), request, kCallTimeout, on_first_end);
}

void soak_system::OnAcknowledged(int version) {
  if (version <= acknowledged_) return;
  acknowledged_ = version;
  acknowledgements_[clock_.SteadyNow()] = version;
}

void soak_system::ReadConfiguration(std::size_t control) {
  const auto due =
      acknowledgements_.lower_bound(clock_.SteadyNow() - kInForceLimit);
  const int expected =
      due == acknowledgements_.begin() ? 0 : std::prev(due)->second;
  SendHttpRequest(
      loop_, Http(control), {"GET", "/almondproxy/config", "", {}, ""},
      kCallTimeout, [this, control, expected](const http_call_result& result) {
        if (result.outcome != http_call_outcome::answered ||
            result.response.status != 200) {
          return;
        }
        const auto body =
            nlohmann::json::parse(result.response.body, nullptr, false);
        const int version = body.is_object() ? body.value("version", 0) : 0;
        read_back_ = version;
        if (version < expected) {
          AddFinding("control " + std::to_string(control) + " read version " +
                     std::to_string(version) + " after version " +
                     std::to_string(expected) + " was acknowledged");
        }
      });
}

void soak_system::AskEntry(std::size_t entry, int route) {
  const int incarnation = entries_[entry]->Incarnation();
  entry_view& view = views_[entry];
  if (view.incarnation != incarnation) {
    view.incarnation = incarnation;
    view.at_least = 0;
  }
  view.connections->Send(
      {"GET",
       "/x/",
       "",
       {{"Host", "h" + std::to_string(route) + ".example"}},
       ""},
      kCallTimeout,
      [this, entry, incarnation, route,
       known_before = view.at_least](const http_call_result& result) {
        if (result.outcome != http_call_outcome::answered) {
          ++unanswered_;
          return;
        }
        OnEntryAnswer(entry, incarnation, route, result.response.status,
                      known_before);
      });
}

void soak_system::OnEntryAnswer(std::size_t entry, int incarnation, int route,
                                int status, int known_before) {
  ++answers_;
  entry_view& view = views_[entry];
  if (entries_[entry]->Incarnation() != incarnation) return;
  if (status == 200) {
    if (route + kRoutesPerVersion - 1 < known_before) {
      AddFinding("entry " + std::to_string(entry) + " serves route " +
                 std::to_string(route) + " after version " +
                 std::to_string(known_before));
    }
    view.at_least = std::max(view.at_least, route);
  }
  if (route == sent_ && status == 200) view.newest = true;
}

bool soak_system::AwaitInForce(milliseconds limit) {
  const steady_time deadline = clock_.SteadyNow() + limit;
  changing_ = false;
  ++sent_;
  read_back_ = 0;
  for (entry_view& view : views_) view.newest = false;
  const auto in_force = [this] {
    return acknowledged_ == sent_ && read_back_ == sent_ &&
           std::all_of(views_.begin(), views_.end(),
                       [](const auto& view) { return view.newest; });
  };
  while (!in_force()) {
    if (clock_.SteadyNow() >= deadline) {
      std::string seen = "version " + std::to_string(sent_) +
                         " not in force: acknowledged " +
                         std::to_string(acknowledged_) + ", read back " +
                         std::to_string(read_back_) + ", entries";
      for (const entry_view& view : views_) seen += view.newest ? " 1" : " 0";
      AddFinding(seen);
      return false;
    }
    RunFor(kTickPeriod);
  }
  return true;
}

void soak_system::AddFinding(const std::string& text) {
  constexpr std::size_t kMaxFindings = 20;
  if (findings_.size() < kMaxFindings) findings_.push_back(text);
}

const std::vector<std::string>& soak_system::Findings() {
  for (auto* machines : {&controls_, &entries_}) {
    for (const auto& machine : *machines) {
      for (const std::string& end : machine->OwnEnds()) {
        if (reported_ends_.insert(end).second) AddFinding(end);
      }
    }
  }
  return findings_;
}

std::string soak_system::Summary() const {
  return std::to_string(acknowledged_) + " of " + std::to_string(sent_) +
         " versions acknowledged, " + std::to_string(answers_) +
         " answers of entries, " + std::to_string(unanswered_) + " without";
}

}  // namespace almond
