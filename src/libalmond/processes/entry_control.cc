#include "libalmond/processes/entry_control.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/processes/config_report.h"
#include "libalmond/processes/evacuation_report.h"

namespace almond {

entry_control::entry_control(event_loop& loop, const clock_interface& clock,
                             const entry_settings& settings,
                             entry_process& entry,
                             std::vector<socket_address> control)
    : settings_(settings),
      entry_(entry),
      config_(settings.data_centre,
              {ResolveForDataCentre, [this] { OnConfig(); }}),
      control_(loop, clock, entry.Metrics(), std::move(control),
               ClientHooks()) {
  entry_.SetHooks(EntryHooks());
}

entry_hooks entry_control::EntryHooks() {
  entry_hooks hooks;
  hooks.ledger = LedgerHooks();
  hooks.config_report = [this] {
    return http_response{
        200, {{"Content-Type", "application/json"}}, ConfigReport(config_)};
  };
  hooks.on_config_request = [this](link_id link) {
    if (config_.Version() == config_version()) return;
    entry_.SendToAgent(
        link, config_snapshot_message{config_.Version(), config_.Document()});
  };
  hooks.on_config_snapshot = [this](link_id /*link*/,
                                    const config_snapshot_message& snapshot) {
    config_.ApplyIfNewer(snapshot.version, snapshot.document,
                         config_source::peer);
  };
  hooks.on_agent_version = [this](link_id link, config_version version) {
    if (version > config_.Version()) {
      entry_.SendToAgent(link, config_request_message{});
    }
  };
  hooks.on_draining = [this] { control_.Client().SendHeartbeat(); };
  return hooks;
}

ledger_hooks entry_control::LedgerHooks() {
  ledger_hooks ledger;
  ledger.claim = [this](const ledger_claim_message& claim,
                        ledger_hooks::claim_reply on_answer) {
    control_.Client().Claim(claim, submission_controller::kClaimTimeout,
                            std::move(on_answer));
  };
  ledger.finish = [this](const ledger_finish_message& finish) {
    control_.Client().Finish(
        finish, kFinishTimeout,
        [](const std::optional<ledger_finish_reply_message>& /*reply*/) {});
  };
  ledger.read = [this](const uuid& submission,
                       ledger_hooks::read_reply on_answer) {
    control_.Client().Read({submission}, kReadTimeout, std::move(on_answer));
  };
  return ledger;
}

control_client::hooks entry_control::ClientHooks() {
  control_client::hooks hooks;
  hooks.heartbeat = [this] { return Heartbeat(); };
  hooks.on_entries = [](const std::vector<entry_address>& /*entries*/) {};
  hooks.on_takeover = [this](const ledger_record& record) {
    entry_.TakeOver(record);
  };
  hooks.on_newest = [this](config_version newest) {
    config_.OnNewestVersion(newest);
    SetConfigGauges(config_, entry_.Metrics());
  };
  hooks.on_config = [this](config_version version,
                           const std::string& document) {
    config_.ApplyIfNewer(version, document, config_source::leader);
  };
  hooks.on_evacuations = [this](const evacuation_list& list) {
    if (!evacuations_.ApplyIfNewer(list)) return;
    ReportEvacuations(list, entry_.Metrics());
    entry_.SetEvacuations(list);
  };
  return hooks;
}

heartbeat_message entry_control::Heartbeat() const {
  heartbeat_message heartbeat;
  heartbeat.role = process_role::entry;
  heartbeat.id = settings_.id.Value();
  heartbeat.incarnation = entry_.Incarnation();
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.peer_address = entry_.PeerAddress().ToString();
  heartbeat.http_address = entry_.HttpAddress().ToString();
  heartbeat.version = config_.Version();
  heartbeat.leaving = entry_.Draining();
  return heartbeat;
}

void entry_control::OnConfig() {
  LOG(INFO) << "configuration version " << config_.Version()
            << " is in force, digest " << config_.Digest();
  entry_.SetConfig(*config_.Site(), config_.Version());
  SetConfigGauges(config_, entry_.Metrics());
  // Reports the active version to operators without waiting for the next
  // heartbeat period.
  control_.Client().SendHeartbeat();
}

}  // namespace almond
