#include "libalmond/processes/entry_links.h"

#include <utility>

#include "libalmond/core/logging.h"
#include "libalmond/wire/dispatch_codec.h"

namespace almond {

entry_links::entry_links(event_loop& loop, const clock_interface& clock,
                         metrics_registry& metrics, hooks callbacks,
                         milliseconds announce_limit)
    : loop_(loop),
      metrics_(metrics),
      hooks_(std::move(callbacks)),
      listener_(
          loop, clock,
          [this](const std::shared_ptr<peer_link>& link) { OnAccept(link); }),
      announce_limit_(announce_limit) {}

void entry_links::Send(link_id link, const entry_message& message) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  found->second.link->Send(EncodeEntryMessage(message));
}

void entry_links::SendToAll(const entry_message& message) {
  const frame encoded = EncodeEntryMessage(message);
  for (const auto& [id, accepted] : links_) accepted.link->Send(encoded);
}

void entry_links::Close(link_id link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const auto closed = found->second.link;
  links_.erase(found);
  closed->Close();
  // The link may be in the middle of its own callback, so it is released in
  // the next iteration.
  loop_.Post(duration(0), [closed] {});
}

void entry_links::OnAccept(const std::shared_ptr<peer_link>& link) {
  last_link_ = last_link_.Next();
  const link_id id = last_link_;
  accepted_link& accepted = links_[id];
  accepted.link = link;
  accepted.announce_timer =
      loop_.After(announce_limit_, [this, id] { CloseUnannounced(id); });
  link->Start({[this, id](const frame& encoded) { OnFrame(id, encoded); },
               [this, id](const std::string& reason) {
                 LOG(INFO) << "connection of an agent ended: " << reason;
                 links_.erase(id);
                 hooks_.on_closed(id);
               }});
}

void entry_links::CloseUnannounced(link_id link) {
  LOG(INFO) << "a connection is closed since no agent announced itself";
  metrics_.Counter("almond_unannounced_connections_total").Add();
  Close(link);
  hooks_.on_closed(link);
}

void entry_links::OnFrame(link_id link, const frame& encoded) {
  if (links_.count(link) == 0) return;
  const auto message = DecodeAgentMessage(encoded);
  if (message) {
    if (std::holds_alternative<announce_message>(*message)) {
      links_.at(link).announce_timer.Reset();
    }
    hooks_.on_message(link, *message);
    return;
  }
  metrics_.Counter("almond_bad_frames_total").Add();
  Close(link);
  hooks_.on_closed(link);
}

}  // namespace almond
