#include "platform_programs/piped_program.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <random>

#include "libalmond/net/peer_listener.h"

namespace almond {
namespace {

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

piped_program::piped_program(const std::string& name,
                             const std::vector<std::string>& arguments,
                             const std::vector<std::string>& environment) {
  std::array<int, 2> ends{};
  REQUIRE(pipe2(ends.data(), O_CLOEXEC) == 0);
  reader_ = ends[0];
  writer_ = ends[1];
  fcntl(reader_, F_SETFL, O_NONBLOCK);
  std::string path = ALMOND_PROGRAM_FOLDER "/";
  path += name;
  std::vector<std::string> texts = {path};
  texts.insert(texts.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers = Pointers(texts);
  std::vector<std::string> variables = environment;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, writer_, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&files, writer_, STDERR_FILENO);
  REQUIRE(posix_spawn(&process_, path.c_str(), &files, nullptr, pointers.data(),
                      Pointers(variables).data()) == 0);
  posix_spawn_file_actions_destroy(&files);
}

piped_program::~piped_program() {
  if (!status_) {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  CloseReader();
  close(writer_);
}

std::string piped_program::ReadAvailable() {
  std::string text;
  std::array<char, 4096> bytes{};
  for (;;) {
    const ssize_t count = read(reader_, bytes.data(), bytes.size());
    if (count <= 0) return text;
    text.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

void piped_program::CloseReader() {
  if (reader_ >= 0) close(reader_);
  reader_ = -1;
}

void piped_program::Signal(int signal) const {
  if (!status_) kill(process_, signal);
}

bool piped_program::Ended() {
  int status = 0;
  if (!status_ && waitpid(process_, &status, WNOHANG) == process_) {
    status_ = status;
  }
  return status_.has_value();
}

std::string piped_program::End() const {
  return WIFEXITED(*status_)
             ? "exit code " + std::to_string(WEXITSTATUS(*status_))
             : "signal " + std::to_string(WTERMSIG(*status_));
}

bool piped_program::SharedEndBlocks() const {
  return (fcntl(writer_, F_GETFL) & O_NONBLOCK) == 0;
}

std::string ChooseLoopbackNet() {
  std::random_device random;
  std::uniform_int_distribution<int> number(2, 250);
  return "127." + std::to_string(number(random)) + "." +
         std::to_string(number(random)) + ".";
}

std::uint16_t ChooseAdjacentPorts(const std::string& ip, std::uint16_t count) {
  event_loop loop;
  const system_clock clock;
  std::mt19937 random(std::random_device{}());
  // Below the ports that the system assigns to outgoing connections.
  std::uniform_int_distribution<std::uint16_t> choose(10000, 32000);
  for (;;) {
    const std::uint16_t first = choose(random);
    bool free = true;
    for (std::uint16_t port = first; free && port < first + count; ++port) {
      peer_listener probe(loop, clock, [](const auto&) {});
      free = probe.Listen({ip, port});
    }
    if (free) return first;
  }
}

}  // namespace almond
