#include "libalmond/processes/agent_control.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/processes/config_report.h"
#include "libalmond/processes/evacuation_report.h"

namespace almond {

agent_control::agent_control(event_loop& loop, const clock_interface& clock,
                             const agent_settings& settings,
                             agent_process& agent)
    : settings_(settings),
      agent_(agent),
      config_(settings.data_centre,
              {ResolveForDataCentre, [this] { OnConfig(); }}),
      control_(loop, clock, agent.Metrics(), settings.control, ClientHooks()) {
  agent_.SetConfigHooks(ConfigHooks());
}

agent_config_hooks agent_control::ConfigHooks() {
  agent_config_hooks hooks;
  hooks.version = [this] { return config_.Version(); };
  hooks.suspend_after = [this](const service_id& service) {
    std::optional<milliseconds> limit = suspension_policy::kSuspendAfter;
    const auto active_config = config_.Site();
    if (!active_config) return limit;
    const auto found = active_config->services.find(service);
    if (found != active_config->services.end()) {
      limit = found->second.suspend_after;
    }
    return limit;
  };
  hooks.document = [this] { return ConfigReport(config_); };
  hooks.on_hello = [this](link_id link, const entry_hello_message& hello) {
    if (hello.version > config_.Version()) {
      agent_.SendToEntry(link, config_request_message{});
    }
  };
  hooks.on_config_request = [this](link_id link) {
    if (config_.Version() == config_version()) return;
    agent_.SendToEntry(
        link, config_snapshot_message{config_.Version(), config_.Document()});
  };
  hooks.on_config_snapshot = [this](link_id /*link*/,
                                    const config_snapshot_message& snapshot) {
    config_.ApplyIfNewer(snapshot.version, snapshot.document,
                         config_source::peer);
  };
  return hooks;
}

control_client::hooks agent_control::ClientHooks() {
  control_client::hooks hooks;
  hooks.heartbeat = [this] { return Heartbeat(); };
  hooks.on_entries = [this](const std::vector<entry_address>& entries) {
    OnEntries(entries);
  };
  hooks.on_takeover = [](const ledger_record& /*record*/) {};
  hooks.on_newest = [this](config_version newest) {
    config_.OnNewestVersion(newest);
    SetConfigGauges(config_, agent_.Metrics());
  };
  hooks.on_config = [this](config_version version,
                           const std::string& document) {
    config_.ApplyIfNewer(version, document, config_source::leader);
  };
  hooks.on_evacuations = [this](const evacuation_list& list) {
    OnEvacuations(list);
  };
  return hooks;
}

heartbeat_message agent_control::Heartbeat() const {
  heartbeat_message heartbeat;
  heartbeat.role = process_role::agent;
  heartbeat.id = settings_.id.Value();
  heartbeat.incarnation = agent_.Incarnation();
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.http_address = agent_.HttpAddress().ToString();
  heartbeat.version = config_.Version();
  heartbeat.leaving = agent_.Controller().Leaving();
  return heartbeat;
}

void agent_control::OnEntries(const std::vector<entry_address>& entries) {
  std::vector<socket_address> addresses;
  addresses.reserve(entries.size());
  for (const entry_address& entry : entries) {
    const auto address = socket_address::Parse(entry.peer_address);
    if (address) addresses.push_back(*address);
  }
  agent_.SetEntries(addresses);
}

void agent_control::OnEvacuations(const evacuation_list& list) {
  if (!evacuations_.ApplyIfNewer(list)) return;
  ReportEvacuations(list, agent_.Metrics());
  agent_.SetEvacuated(evacuations_.IsEvacuated(settings_.data_centre));
}

void agent_control::OnConfig() {
  LOG(INFO) << "configuration version " << config_.Version()
            << " is in force, digest " << config_.Digest();
  SetConfigGauges(config_, agent_.Metrics());
  control_.Client().SendHeartbeat();
}

}  // namespace almond
