#include "outside_clients/client_crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

#include "libalmond/net/socket_util.h"

namespace almond {
namespace {

/// Time without any accepted byte after which a crowd stops sending.
constexpr std::chrono::milliseconds kStallTimeout{1000};

}  // namespace

client_crowd::client_crowd(const socket_address& address,
                           std::size_t connections) {
  const sockaddr_in raw = ToSockaddr(address);
  for (std::size_t i = 0; i < connections; ++i) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&raw),
                sizeof(raw)) != 0) {
      close(descriptor);
      continue;
    }
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    clients_.push_back({descriptor});
  }
}

client_crowd::~client_crowd() {
  for (const client& sender : clients_) {
    if (sender.descriptor >= 0) close(sender.descriptor);
  }
}

bool client_crowd::SendSome(client& sender, const std::string& opening,
                            const std::string& repeated, std::size_t limit) {
  while (sender.sent < limit) {
    const bool first = sender.sent < opening.size();
    if (!first && repeated.empty()) return false;
    const std::string& text = first ? opening : repeated;
    const std::size_t at =
        first ? sender.sent : (sender.sent - opening.size()) % text.size();
    const ssize_t count = send(sender.descriptor, text.data() + at,
                               text.size() - at, MSG_NOSIGNAL);
    if (count < 0 && errno == EAGAIN) return true;
    if (count < 0) return false;
    sender.sent += static_cast<std::size_t>(count);
  }
  return false;
}

void client_crowd::Send(const std::string& opening, const std::string& repeated,
                        std::size_t limit) {
  std::vector<client*> sending;
  for (client& sender : clients_) {
    sender.sent = 0;
    if (sender.descriptor >= 0) sending.push_back(&sender);
  }
  while (!sending.empty()) {
    std::erase_if(sending, [&](client* sender) {
      return !SendSome(*sender, opening, repeated, limit);
    });
    std::vector<pollfd> waiting;
    waiting.reserve(sending.size());
    for (const client* sender : sending) {
      waiting.push_back({sender->descriptor, POLLOUT, 0});
    }
    if (poll(waiting.data(), waiting.size(),
             static_cast<int>(kStallTimeout.count())) == 0) {
      return;
    }
  }
}

void client_crowd::HalfClose() {
  for (const client& sender : clients_) shutdown(sender.descriptor, SHUT_WR);
}

void client_crowd::Reset() {
  for (client& sender : clients_) {
    const linger at_once{1, 0};
    setsockopt(sender.descriptor, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
    close(std::exchange(sender.descriptor, -1));
  }
}

}  // namespace almond
