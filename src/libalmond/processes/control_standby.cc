#include "libalmond/processes/control_standby.h"

#include <boost/leaf.hpp>
#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/processes/control_process_codec.h"
#include "libalmond/processes/input_budget.h"
#include "libalmond/processes/operator_log.h"
#include "libalmond/storage/storage_error.h"
#include "libalmond/wire/control_codec.h"

namespace almond {

control_standby::control_standby(
    event_loop& loop, const clock_interface& clock, settings configured,
    const std::function<void(const replica_assignment&)>& on_claimed)
    : settings_(std::move(configured)),
      finder_(loop, clock, settings_.own, settings_.http_addresses,
              FinderHooks(on_claimed), settings_.growth),
      budget_(MakeInputBudget(clock, metrics_, settings_.limits)),
      http_(
          loop,
          [this, &clock](const http_request& request,
                         const http_server::responder& respond) {
            const auto logged = LogAnswer(clock, request, respond);
            if (operator_interface_ && operator_interface_(request, logged)) {
              return;
            }
            logged(NotLeaderResponse(LeaderHttpAddress()));
          },
          budget_, listener_kind::probe),
      listener_(loop, clock, [this](const std::shared_ptr<peer_link>& link) {
        OnAccept(link);
      }) {}

assignment_finder::hooks control_standby::FinderHooks(
    const std::function<void(const replica_assignment&)>& on_claimed) {
  assignment_finder::hooks hooks;
  if (settings_.data_dir.empty()) return hooks;
  hooks.on_claimed = on_claimed;
  hooks.on_replicas = [this](const std::vector<control_address>& replicas) {
    boost::leaf::try_handle_all(
        [&] {
          return SaveAssignment(settings_.data_dir, {"", replicas});
        },
        [](const storage_error& error) {
          LOG(ERROR) << "cannot store the addresses of the replicas: "
                     << error.ToString();
        },
        [] {});
  };
  return hooks;
}

std::optional<std::string> control_standby::Start() {
  listener_.SetBudget(budget_, listener_kind::member);
  if (!http_.Listen(*settings_.own.http)) {
    return "cannot listen on " + settings_.own.http->ToString();
  }
  if (!listener_.Listen(settings_.own.control)) {
    return "cannot listen on " + settings_.own.control.ToString();
  }
  LOG(INFO) << "waiting for a place in the replicated log";
  return std::nullopt;
}

std::string control_standby::LeaderHttpAddress() const {
  const auto& leader = finder_.Leader();
  return leader && leader->http ? leader->http->ToString() : "";
}

std::string control_standby::LeaderControlAddress() const {
  const auto& leader = finder_.Leader();
  return leader ? leader->control.ToString() : "";
}

void control_standby::OnAccept(const std::shared_ptr<peer_link>& link) {
  links_.insert(link);
  const std::weak_ptr<peer_link> weak = link;
  link->Start({[this, weak](const frame& encoded) {
                 if (const auto open = weak.lock()) OnFrame(open, encoded);
               },
               [this, weak](const std::string& /*reason*/) {
                 if (const auto open = weak.lock()) links_.erase(open);
               }});
}

void control_standby::OnFrame(const std::shared_ptr<peer_link>& link,
                              const frame& encoded) {
  const auto request = DecodeControlRequest(encoded);
  if (!request) {
    link->Close();
    links_.erase(link);
    return;
  }
  link->Send(EncodeControlReply(request->number,
                                not_leader_message{LeaderControlAddress()}));
}

}  // namespace almond
