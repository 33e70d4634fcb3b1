#ifndef ALMOND_PROCESSES_REPLICA_HOST_LINKS_H_
#define ALMOND_PROCESSES_REPLICA_HOST_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libalmond/net/peer_dialer.h"
#include "libalmond/net/peer_listener.h"
#include "libalmond/processes/replica_host.h"
#include "libalmond/replication/replication_messages.h"

namespace almond {

/// Connections of one replica to the others. Each replica dials every other
/// one whose address it knows. A message is sent over the connection that the
/// peer opened or, if there is none, over the one that this replica opened.
class replica_host_links {
 public:
  using receive_hook = std::function<void(const replica_message&)>;

  /// @param settings this replica, its peers and the cluster id; outlives this
  ///   object
  /// @param on_message called for each valid message to this replica
  replica_host_links(event_loop& loop, const clock_interface& clock,
                     const replica_host_settings& settings,
                     receive_hook on_message);

  /// Listens and starts dialling.
  /// @param address of this replica
  /// @returns false if the address cannot be bound
  bool Start(const socket_address& address);
  /// Dials a replica at its current address, unless its place is vacant.
  void Dial(const replica_address& peer);
  /// Sends a message; drops it if there is no connection.
  void Send(const replica_message& message);

 private:
  bool IsPeer(const replica_id& id) const;
  void Accept(const std::shared_ptr<peer_link>& link);
  void RemoveLink(const std::shared_ptr<peer_link>& link);
  /// @returns the sender, empty if the frame is invalid
  replica_id Receive(const frame& encoded);

  event_loop& loop_;
  const clock_interface& clock_;
  const replica_host_settings& settings_;
  receive_hook on_message_;
  peer_listener listener_;
  std::map<replica_id, std::unique_ptr<peer_dialer>> dialers_;
  std::set<std::shared_ptr<peer_link>> accepted_;
  std::map<replica_id, std::shared_ptr<peer_link>> links_by_sender_;
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_REPLICA_HOST_LINKS_H_
