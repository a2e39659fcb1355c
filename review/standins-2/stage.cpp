#include "review/standins-2/stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace review {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr const char *Program = "target/orioletally";
/// Below the kernel's ephemeral ports.
constexpr int FirstPort = 20'000;
constexpr int LastPort = 32'000;
constexpr size_t ReadBytes = 16 << 10;

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int portOf(const std::string &address) {
  return std::atoi(address.c_str() + address.rfind(':') + 1);
}

bool canBind(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const int ec =
      ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
  ::close(fd);
  return ec == 0;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return text;
}

/// Takes the chunks off \p text that are complete; returns whether the last one
/// is among them.
bool joinChunks(std::string text, std::string &out) {
  for (;;) {
    const size_t line = text.find("\r\n");
    if (line == std::string::npos)
      return false;
    const size_t n = std::strtoul(text.c_str(), nullptr, 16);
    if (n == 0)
      return text.size() >= line + 4;
    if (text.size() < line + 2 + n + 2)
      return false;
    out += text.substr(line + 2, n);
    text.erase(0, line + 2 + n + 2);
  }
}

} // namespace

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void sleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             steady_clock::now().time_since_epoch())
      .count();
}

int freePort() {
  static std::mutex guard;
  static int next = FirstPort + ::getpid() * 97 % (LastPort - FirstPort);
  const std::lock_guard lock(guard);
  do {
    next = next + 1 < LastPort ? next + 1 : FirstPort;
  } while (!canBind(next));
  return next;
}

Record::Record(const std::string &path) : Out(path), StartedAt(nowMs()) {}

void Record::line(const std::string &text) {
  const std::lock_guard lock(Guard);
  Out << nowMs() - StartedAt << " ms " << text << "\n";
  Out.flush();
}

Node::Node(std::string name, std::string storeAddress)
    : Name(std::move(name)), StoreAddress(std::move(storeAddress)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) != nullptr)
    Folder = pattern;
  const auto address = [] { return "127.0.0.1:" + std::to_string(freePort()); };
  CallsAddress = address();
  ReadyAddress = address();
  PeersAddress = address();
}

Node::~Node() {
  if (!HasEnded) {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
  if (!Folder.empty())
    std::filesystem::remove_all(Folder);
}

bool Node::start() {
  const std::string path = Folder + "/boot.toml";
  // As deploy/settings.toml.in, filled in for a machine of the small sites.
  std::ofstream(path) << "[node]\nname = \"" << Name
                      << "\"\nzone = \"z\"\nregion = \"r\"\nmax_files = 4200\n"
                         "memory_mb = 260\ngrace_s = 8.0\n[calls]\naddress = \""
                      << CallsAddress << "\"\n[ready]\naddress = \""
                      << ReadyAddress << "\"\n[metrics]\nport = 0\n"
                      << "[peers]\naddress = \"" << PeersAddress
                      << "\"\n[store]\naddress = \"" << StoreAddress
                      << "\"\n[placement]\nacross_cells = true\n[retries]\n"
                         "share = 0.2\nslack = 104\nwindow_s = 10\n";
  const std::string logFile = Folder + "/log";
  std::vector<std::string> variables = {"ORIOLETALLY_SETTINGS=" + path};
  for (char **it = environ; *it != nullptr; ++it)
    variables.emplace_back(*it);
  std::vector<char *> environment;
  for (std::string &it : variables)
    environment.push_back(it.data());
  environment.push_back(nullptr);
  std::string program = Program;
  std::string role = "entry";
  char *argv[] = {program.data(), role.data(), nullptr};
  const int out =
      ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t self = ::getpid();
  Pid = ::fork();
  if (Pid == 0) {
    // Ends with the script, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != self)
      ::_exit(NotRun);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execve(Program, argv, environment.data());
    ::_exit(NotRun);
  }
  ::close(out);
  if (Pid < 0)
    return false;
  HasEnded = false;
  for (int n = 0; n < 300 && !isReady(); ++n)
    sleepMs(50);
  return isReady();
}

bool Node::isReady() const {
  Caller caller(ReadyAddress);
  return caller
             .call("GET /orioletally/readiness HTTP/1.1\r\nHost: x\r\n"
                   "Connection: close\r\n\r\n",
                   500)
             .Status == 200;
}

void Node::signal(int number) const { ::kill(Pid, number); }

bool Node::waitExit(int ms) {
  const int64_t until = nowMs() + ms;
  while (!HasEnded && nowMs() < until) {
    if (::waitpid(Pid, nullptr, WNOHANG) == Pid)
      HasEnded = true;
    else
      sleepMs(10);
  }
  return HasEnded;
}

std::string Node::log() const {
  std::ifstream in(Folder + "/log");
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string Answer::header(std::string name) const {
  name = lower(std::move(name));
  std::istringstream lines(Head);
  for (std::string line; std::getline(lines, line);) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos || lower(line.substr(0, colon)) != name)
      continue;
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
      value.pop_back();
    return value.substr(std::min(value.size(), value.find_first_not_of(' ')));
  }
  return "";
}

Caller::~Caller() { close(); }

void Caller::close() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
}

bool Caller::open() {
  close();
  Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBuffer > 0)
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
  const int one = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in to = loopback(portOf(Address));
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0)
    return true;
  close();
  return false;
}

bool Caller::send(const std::string &text) const {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t n =
        ::send(Fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

std::string Caller::receive(size_t max, int timeoutMs) const {
  pollfd it{Fd, POLLIN, 0};
  if (::poll(&it, 1, timeoutMs) != 1)
    return "";
  std::string buf(max, '\0');
  const ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
  buf.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return buf;
}

Answer Caller::call(const std::string &text, int timeoutMs) {
  Answer answer;
  if (Fd < 0 && !open())
    return answer;
  if (!send(text)) {
    close();
    return answer;
  }
  const int64_t until = nowMs() + timeoutMs;
  std::string all;
  while (!answer.IsComplete) {
    const auto left = static_cast<int>(until - nowMs());
    const std::string next = left > 0 ? receive(ReadBytes, left) : "";
    if (next.empty())
      break;
    all += next;
    const size_t end = all.find("\r\n\r\n");
    if (end == std::string::npos)
      continue;
    answer.Head = all.substr(0, end + 2);
    answer.Status = std::atoi(answer.Head.substr(9, 3).c_str());
    const std::string rest = all.substr(end + 4);
    answer.Body.clear();
    if (answer.header("transfer-encoding") == "chunked") {
      answer.IsComplete = joinChunks(rest, answer.Body);
    } else {
      const std::string length = answer.header("content-length");
      answer.Body = rest;
      answer.IsComplete =
          !length.empty() &&
          rest.size() >= std::strtoul(length.c_str(), nullptr, 10);
    }
  }
  answer.KeepsOpen =
      answer.IsComplete && answer.header("connection") != "close";
  if (!answer.KeepsOpen)
    close();
  return answer;
}

std::string requestText(const std::string &method, const std::string &path,
                        const std::string &id, int timeLimitMs,
                        const std::string &body,
                        const std::string &moreHeaders) {
  std::string text =
      method + " " + path +
      " HTTP/1.1\r\nHost: a.example\r\n"
      "Authorization: Token key-n\r\n"
      "X-Orioletally-Attempt-Id: " +
      id + "\r\nX-Orioletally-Deadline-Ms: " + std::to_string(timeLimitMs) +
      "\r\n" + moreHeaders;
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

std::string attemptId(const RawRequest &request) {
  return request.header("x-orioletally-attempt-id");
}

std::string answerHead(const RawRequest &request, int status,
                       const std::string &moreHeaders) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Orioletally-Attempt-Id: " + attemptId(request) +
         "\r\nX-Orioletally-Response-Signature: sig-" + attemptId(request) +
         "\r\n" + moreHeaders + "\r\n";
}

void writeConfig(StoreServer &store, int version, int timeoutMs) {
  const auto route = [&](const char *name, const char *prefix, const char *kind,
                         const char *service, bool resumable) {
    return json{{"name", name},
                {"host", "a.example"},
                {"prefix", prefix},
                {"kind", kind},
                {"timeout_ms", timeoutMs},
                {"target_latency_ms", 150},
                {"service", service},
                {"max_attempts", kind == std::string("non_idempotent") ? 1 : 2},
                {"public", false},
                {"resumable", resumable},
                {"gap_aim_ms", 200}};
  };
  const json routes = {
      route("read", "/read/", "idempotent", "desk", false),
      route("write", "/write/", "non_idempotent", "desk", false),
      route("ask", "/ask/", "streaming", "llm", true),
      route("once", "/once/", "streaming", "llm", false)};
  const json engine = {
      {"slots", 16},      {"kv_capacity", 450'000},  {"stride", 46},
      {"step_ms", 0.925}, {"read_per_s", 256'000.0}, {"pairs_per_m", 0.0917},
      {"chunk", 2'048}};
  store.put("op", "config",
            json{{"version", version},
                 {"routes", routes},
                 {"services",
                  {{{"name", "desk"}}, {{"name", "llm"}, {"engine", engine}}}},
                 {"limits",
                  {{"max_header_bytes", 16'384},
                   {"max_body_bytes", 4'194'304},
                   {"header_timeout_ms", 5'000},
                   {"idle_timeout_ms", 30'000}}},
                 {"tenants", {{{"name", "north"}, {"api_keys", {"key-n"}}}}}}
                .dump());
}

void listWorker(StoreServer &store, const std::string &id,
                const std::string &service, const std::string &address,
                int64_t born, const std::string &state) {
  store.put("servers", id,
            json{{"service", service},
                 {"address", address},
                 {"zone", "z"},
                 {"version", "1"},
                 {"slots", 6},
                 {"state", state},
                 {"cold_remaining_ms", 0},
                 {"seq", 1},
                 {"born", born}}
                .dump());
}

} // namespace review
