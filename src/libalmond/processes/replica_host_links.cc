#include "libalmond/processes/replica_host_links.h"

#include <algorithm>
#include <utility>

#include "libalmond/wire/replication_codec.h"

namespace almond {
namespace {

/// Attempts to connect to a machine without power are not refused. They are
/// repeated soon, so that replicas that start together reach each other before
/// their first election timeouts.
constexpr link_timing kReplicaLinkTiming{link_timing().ping_period,
                                         link_timing().receive_timeout,
                                         milliseconds(50), milliseconds(150)};

}  // namespace

replica_host_links::replica_host_links(event_loop& loop,
                                       const clock_interface& clock,
                                       const replica_host_settings& settings,
                                       receive_hook on_message)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      on_message_(std::move(on_message)),
      listener_(loop, clock, [this](const std::shared_ptr<peer_link>& link) {
        Accept(link);
      }) {}

bool replica_host_links::Start(const socket_address& address) {
  if (settings_.budget) {
    listener_.SetBudget(settings_.budget, listener_kind::probe);
  }
  if (!listener_.Listen(address)) return false;
  for (const replica_address& peer : settings_.replicas) Dial(peer);
  return true;
}

void replica_host_links::Dial(const replica_address& peer) {
  if (peer.id == settings_.self || peer.replication.port == 0) return;
  dialers_[peer.id] = std::make_unique<peer_dialer>(
      loop_, clock_, peer.replication,
      peer_dialer::hooks{[] {},
                         [this](const frame& encoded) { Receive(encoded); },
                         [](const std::string&) {}},
      kReplicaLinkTiming);
}

void replica_host_links::Send(const replica_message& message) {
  // A replica may have been replaced by a process at another address than the
  // configured one. The connection that the peer opened is therefore preferred.
  const auto sender = links_by_sender_.find(message.to);
  if (sender != links_by_sender_.end()) {
    sender->second->Send(EncodeReplicaMessage(message, settings_.cluster));
    return;
  }
  const auto dialer = dialers_.find(message.to);
  if (dialer == dialers_.end() || !dialer->second->Connected()) return;
  dialer->second->Send(EncodeReplicaMessage(message, settings_.cluster));
}

bool replica_host_links::IsPeer(const replica_id& id) const {
  return id != settings_.self &&
         std::any_of(settings_.replicas.begin(), settings_.replicas.end(),
                     [&id](const auto& replica) { return replica.id == id; });
}

void replica_host_links::Accept(const std::shared_ptr<peer_link>& link) {
  accepted_.insert(link);
  const std::weak_ptr<peer_link> weak = link;
  link->Start({[this, weak](const frame& encoded) {
                 const replica_id sender = Receive(encoded);
                 const auto current = weak.lock();
                 if (!current) return;
                 if (sender.Empty()) {
                   current->Close();
                   RemoveLink(current);
                 } else {
                   links_by_sender_[sender] = current;
                 }
               },
               [this, weak](const std::string&) {
                 if (const auto current = weak.lock()) RemoveLink(current);
               }});
}

void replica_host_links::RemoveLink(const std::shared_ptr<peer_link>& link) {
  accepted_.erase(link);
  std::erase_if(links_by_sender_,
                [&link](const auto& sender) { return sender.second == link; });
}

replica_id replica_host_links::Receive(const frame& encoded) {
  const auto message = DecodeReplicaMessage(encoded, settings_.cluster);
  if (!message || message->to != settings_.self || !IsPeer(message->from)) {
    return {};
  }
  on_message_(*message);
  return message->from;
}

}  // namespace almond
