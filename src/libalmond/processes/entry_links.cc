#include "libalmond/processes/entry_links.h"

#include <utility>

#include "libalmond/core/logging.h"

namespace almond {

template <typename Codec>
entry_links_of<Codec>::entry_links_of(
    event_loop& loop, const clock_interface& clock, metrics_registry& metrics,
    hooks callbacks, milliseconds announce_timeout, link_timing timing)
    : loop_(loop),
      metrics_(metrics),
      hooks_(std::move(callbacks)),
      sent_(metrics, "out"),
      received_(metrics, "in"),
      listener_(
          loop, clock,
          [this](const std::shared_ptr<peer_link>& link) { OnAccept(link); },
          timing),
      announce_timeout_(announce_timeout) {}

template <typename Codec>
void entry_links_of<Codec>::Send(link_id link,
                                 const typename Codec::from_entry& message) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const frame encoded = Codec::Encode(message);
  sent_.Add(encoded);
  found->second.link->Send(encoded);
}

template <typename Codec>
void entry_links_of<Codec>::SendToAll(
    const typename Codec::from_entry& message) {
  const frame encoded = Codec::Encode(message);
  for (const auto& [id, accepted] : links_) {
    sent_.Add(encoded);
    accepted.link->Send(encoded);
  }
}

template <typename Codec>
void entry_links_of<Codec>::Close(link_id link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  const auto closed = found->second.link;
  links_.erase(found);
  closed->Close();
  // The call may come from one of the link's own callbacks, so the link is
  // destroyed in the next loop iteration.
  loop_.Post(duration(0), [closed] {});
}

template <typename Codec>
void entry_links_of<Codec>::OnAccept(const std::shared_ptr<peer_link>& link) {
  last_link_ = last_link_.Next();
  const link_id id = last_link_;
  accepted_link& accepted = links_[id];
  accepted.link = link;
  accepted.announce_timer =
      loop_.After(announce_timeout_, [this, id] { CloseUnannounced(id); });
  link->Start({[this, id](const frame& encoded) { OnFrame(id, encoded); },
               [this, id](const std::string& reason) {
                 LOG(INFO) << "agent connection closed: " << reason;
                 links_.erase(id);
                 hooks_.on_closed(id);
               }});
}

template <typename Codec>
void entry_links_of<Codec>::CloseUnannounced(link_id link) {
  LOG(INFO) << "closing an incoming connection: no agent announcement received "
               "in time";
  metrics_.Counter("almond_unannounced_connections_total").Add();
  Close(link);
  hooks_.on_closed(link);
}

template <typename Codec>
void entry_links_of<Codec>::OnFrame(link_id link, const frame& encoded) {
  if (links_.count(link) == 0) return;
  received_.Add(encoded);
  const auto message = Codec::DecodeFromAgent(encoded);
  if (message) {
    if (Codec::IsAnnouncement(*message)) {
      links_.at(link).announce_timer.Reset();
    }
    hooks_.on_message(link, *message);
    return;
  }
  metrics_.Counter("almond_bad_frames_total").Add();
  Close(link);
  hooks_.on_closed(link);
}

template class entry_links_of<slot_link_codec>;
template class entry_links_of<run_link_codec>;

}  // namespace almond
