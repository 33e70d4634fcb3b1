#ifndef ALMOND_TESTS_OUTSIDE_CLIENTS_CLIENT_CROWD_H_
#define ALMOND_TESTS_OUTSIDE_CLIENTS_CLIENT_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libalmond/core/socket_address.h"

namespace almond {

/// Connections of clients that never read an answer.
class client_crowd {
 public:
  /// Opens the connections.
  /// @param connections number of clients
  client_crowd(const socket_address& address, std::size_t connections);
  ~client_crowd();
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;

  /// Sends on all connections until each has accepted enough bytes or is
  /// closed, or none accepts any more.
  /// @param opening sent once
  /// @param repeated sent again and again after it, unless empty
  /// @param limit bytes for each connection after which it is left alone
  void Send(const std::string& opening, const std::string& repeated,
            std::size_t limit);
  /// Ends sending on all connections and leaves them open otherwise.
  void HalfClose();
  /// Closes all connections with a reset.
  void Reset();

 private:
  struct client {
    int descriptor = -1;
    std::size_t sent = 0;
  };
  /// @returns false once the connection takes no bytes at present
  static bool SendSome(client& sender, const std::string& opening,
                       const std::string& repeated, std::size_t limit);

  std::vector<client> clients_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_OUTSIDE_CLIENTS_CLIENT_CROWD_H_
