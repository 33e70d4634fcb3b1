#include "libalmond/processes/agent_entry_links.h"

#include <algorithm>
#include <utility>

#include "libalmond/core/logging.h"

namespace almond {

template <typename Codec>
void agent_entry_links_of<Codec>::SetEntries(
    const std::vector<socket_address>& entries) {
  for (auto position = entries_.begin(); position != entries_.end();) {
    const bool listed = std::find(entries.begin(), entries.end(),
                                  position->first) != entries.end();
    if (listed || position->second.link != link_id()) {
      ++position;
      continue;
    }
    LOG(INFO) << "entry " << position->first.ToString()
              << " is no longer listed in the directory; no longer dialled";
    position = entries_.erase(position);
  }
  for (const socket_address& address : entries) {
    if (entries_.count(address) == 0) Dial(address);
  }
}

template <typename Codec>
void agent_entry_links_of<Codec>::Dial(const socket_address& address) {
  peer_dialer::hooks callbacks;
  callbacks.on_connected = [this, address] { OnConnected(address); };
  callbacks.on_frame = [this, address](const frame& encoded) {
    OnFrame(address, encoded);
  };
  callbacks.on_closed = [this, address](const std::string& reason) {
    OnClosed(address, reason);
  };
  entries_[address].dialer = std::make_unique<peer_dialer>(
      loop_, clock_, address, std::move(callbacks), timing_);
}

template <typename Codec>
void agent_entry_links_of<Codec>::OnConnected(const socket_address& address) {
  LOG(INFO) << "connected to entry " << address.ToString();
  entry_connection& connection = entries_.at(address);
  last_link_ = last_link_.Next();
  connection.link = last_link_;
  by_link_[connection.link] = connection.dialer.get();
  hooks_.on_connected(connection.link);
}

template <typename Codec>
void agent_entry_links_of<Codec>::OnFrame(const socket_address& address,
                                          const frame& encoded) {
  received_.Add(encoded);
  const auto message = Codec::DecodeFromEntry(encoded);
  if (!message) {
    metrics_.Counter("almond_bad_frames_total").Add();
    entries_.at(address).dialer->Close("damaged frame of type " +
                                       std::to_string(encoded.type));
    return;
  }
  hooks_.on_message(entries_.at(address).link, *message);
}

template <typename Codec>
void agent_entry_links_of<Codec>::OnClosed(const socket_address& address,
                                           const std::string& reason) {
  LOG(INFO) << "connection to entry " << address.ToString()
            << " ended: " << reason;
  EndLink(entries_.at(address));
}

template <typename Codec>
void agent_entry_links_of<Codec>::EndLink(entry_connection& connection) {
  const link_id link = std::exchange(connection.link, link_id());
  if (by_link_.erase(link) > 0) hooks_.on_closed(link);
}

template <typename Codec>
void agent_entry_links_of<Codec>::Send(
    link_id link, const typename Codec::from_agent& message) {
  const auto found = by_link_.find(link);
  if (found == by_link_.end()) return;
  const frame encoded = Codec::Encode(message);
  sent_.Add(encoded);
  found->second->Send(encoded);
}

template <typename Codec>
void agent_entry_links_of<Codec>::Close(const socket_address& entry) {
  const auto found = entries_.find(entry);
  if (found == entries_.end()) return;
  EndLink(found->second);
  entries_.erase(entry);
}

template <typename Codec>
link_id agent_entry_links_of<Codec>::LinkTo(const socket_address& entry) const {
  const auto found = entries_.find(entry);
  return found == entries_.end() ? link_id() : found->second.link;
}

template <typename Codec>
std::vector<link_id> agent_entry_links_of<Codec>::Links() const {
  std::vector<link_id> links;
  links.reserve(by_link_.size());
  for (const auto& [link, dialer] : by_link_) links.push_back(link);
  return links;
}

template class agent_entry_links_of<slot_link_codec>;
template class agent_entry_links_of<run_link_codec>;

}  // namespace almond
