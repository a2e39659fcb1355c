#include "review/standins-3/stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto Started = std::chrono::steady_clock::now();
std::mutex RecordGuard;
constexpr size_t ReadBytes = 64 << 10;
/// The store's port that is no door.
constexpr size_t NoDoor = SIZE_MAX;

std::string environment(const char *name) {
  const char *value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string base64(const std::string &bytes) {
  static const char *const Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < bytes.size(); n += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (n + k < bytes.size() ? static_cast<uint8_t>(bytes[n + k]) : 0);
    for (size_t k = 0; k < 4; ++k)
      out += n + k > bytes.size() ? '=' : Digits[group >> (18 - 6 * k) & 63];
  }
  return out;
}

std::string fromBase64(const std::string &text) {
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z')
      digit = c - 'A';
    else if (c >= 'a' && c <= 'z')
      digit = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      digit = c - '0' + 52;
    else if (c == '+')
      digit = 62;
    else if (c == '/')
      digit = 63;
    if (digit < 0)
      continue;
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(group >> bits & 255);
    }
  }
  return out;
}

std::string percentDecoded(const std::string &text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += text[n];
    }
  }
  return out;
}

std::map<std::string, std::string> queryOf(const std::string &target) {
  std::map<std::string, std::string> result;
  const size_t mark = target.find('?');
  std::string rest =
      mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string field = rest.substr(0, end);
    rest.erase(0, std::min(end + 1, rest.size()));
    const size_t equals = std::min(field.find('='), field.size());
    result[field.substr(0, equals)] =
        equals < field.size() ? percentDecoded(field.substr(equals + 1)) : "";
  }
  return result;
}

/// Each attempt of a consumer has an id of its own.
std::string nextAttemptId() {
  static std::atomic<int> n = 0;
  return fmt::format("{:08x}", ++n);
}

sockaddr_in addressOf(const std::string &text) {
  sockaddr_in address{};
  const size_t colon = text.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

/// Returns a free port of \p ip.
int freePort(const std::string &ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = addressOf(ip + ":0");
  socklen_t size = sizeof(address);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
    cannotRun("no free port at " + ip);
  ::close(fd);
  return ntohs(address.sin_port);
}

} // namespace

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Started)
      .count();
}

int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void sleepUntil(int64_t at) { sleepMs(std::max<int64_t>(0, at - nowMs())); }

bool isTroubled() { return environment("TROUBLE") != "0"; }

void cannotRun(const std::string &why) {
  record("the case couldn't run: " + why);
  std::cerr << "the case couldn't run: " << why << std::endl;
  // Ends the nodes as well: they die with their parent.
  std::_Exit(2);
}

void record(const std::string &line) {
  const std::lock_guard lock(RecordGuard);
  static std::ofstream out(environment("REVIEW_RECORD"));
  out << fmt::format("{:9.3f} ", static_cast<double>(nowMs()) / 1000) << line
      << std::endl;
}

void finish(bool isBroken, const std::string &summary) {
  record(summary);
  std::cout << summary << std::endl;
  std::_Exit(isBroken ? 1 : 0);
}

std::string Message::header(const std::string &name) const {
  for (const auto &[key, value] : Headers)
    if (::strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  return "";
}

std::string Message::method() const { return Start.substr(0, Start.find(' ')); }

std::string Message::target() const {
  const size_t from = Start.find(' ') + 1;
  return Start.substr(from, Start.find(' ', from) - from);
}

int Message::status() const {
  const size_t space = Start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(Start.c_str() + space);
}

Connection::~Connection() { ::close(Fd); }

std::unique_ptr<Connection> Connection::open(const std::string &address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in to = addressOf(address);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0)
    return nullptr;
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::awaitBytes(int timeoutMs) {
  if (!Bytes.empty())
    return true;
  pollfd it{Fd, POLLIN, 0};
  return ::poll(&it, 1, timeoutMs) == 1;
}

bool Connection::fill(int timeoutMs) {
  pollfd it{Fd, POLLIN, 0};
  if (::poll(&it, 1, timeoutMs) != 1)
    return false;
  std::string buf(ReadBytes, '\0');
  const ssize_t n = ::recv(Fd, buf.data(), buf.size(), 0);
  if (n <= 0)
    return false;
  Bytes.append(buf, 0, static_cast<size_t>(n));
  return true;
}

bool Connection::readLine(std::string &line, int timeoutMs) {
  size_t end = Bytes.find("\r\n");
  while (end == std::string::npos) {
    if (!fill(timeoutMs))
      return false;
    end = Bytes.find("\r\n");
  }
  line = Bytes.substr(0, end);
  Bytes.erase(0, end + 2);
  return true;
}

bool Connection::read(Message &message, bool isAnswer, int timeoutMs) {
  message = {};
  std::string line;
  if (!readLine(message.Start, timeoutMs))
    return false;
  while (readLine(line, timeoutMs) && !line.empty()) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      return false;
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    message.Headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  if (!line.empty())
    return false;
  if (message.header("Transfer-Encoding") == "chunked") {
    for (;;) {
      if (!readLine(line, timeoutMs))
        return false;
      const size_t size = std::stoul(line, nullptr, 16);
      while (Bytes.size() < size + 2)
        if (!fill(timeoutMs))
          return false;
      message.Body += Bytes.substr(0, size);
      Bytes.erase(0, size + 2);
      if (size == 0)
        return true;
    }
  }
  const std::string length = message.header("Content-Length");
  if (length.empty() && isAnswer) {
    while (fill(timeoutMs)) {
    }
    message.Body = std::exchange(Bytes, {});
    return true;
  }
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (Bytes.size() < size)
    if (!fill(timeoutMs))
      return false;
  message.Body = Bytes.substr(0, size);
  Bytes.erase(0, size);
  return true;
}

bool Connection::write(const std::string &bytes) {
  for (size_t done = 0; done < bytes.size();) {
    const ssize_t n =
        ::send(Fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

void Connection::shutdown() { ::shutdown(Fd, SHUT_RDWR); }

Server::Server(const std::string &ip) {
  Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = addressOf(ip + ":0");
  socklen_t size = sizeof(address);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
      ::listen(Fd, 1024) != 0 ||
      ::getsockname(Fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
    cannotRun("no free port at " + ip);
  Address = fmt::format("{}:{}", ip, ntohs(address.sin_port));
}

void Server::start(Handler handler) {
  Handle = std::move(handler);
  Acceptor = std::thread([this] { accept(); });
}

void Server::accept() {
  while (!Stopping) {
    pollfd it{Fd, POLLIN, 0};
    if (::poll(&it, 1, 50) != 1)
      continue;
    const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>(fd);
    const std::lock_guard lock(Guard);
    Connections.push_back(connection);
    Threads.emplace_back([this, connection] {
      Handle(*connection);
      const std::lock_guard inner(Guard);
      Connections.remove(connection);
    });
  }
}

void Server::stop() {
  if (Stopping.exchange(true))
    return;
  if (Acceptor.joinable())
    Acceptor.join();
  ::close(Fd);
  {
    const std::lock_guard lock(Guard);
    for (const auto &it : Connections)
      it->shutdown();
  }
  for (std::thread &it : Threads)
    it.join();
}

Store::Store() {
  Port.start([this](Connection &it) { serve(it, NoDoor); });
}

size_t Store::openDoor() {
  const size_t n = Doors.size();
  Doors.push_back(std::make_unique<Server>());
  Doors.back()->start([this, n](Connection &it) { serve(it, n); });
  return n;
}

std::vector<size_t> Store::watchingDoors(const std::string &table, int64_t ms) {
  const std::lock_guard lock(Guard);
  std::vector<size_t> result;
  for (const auto &[key, at] : WatchedAt)
    if (key.first == table && at >= nowMs() - ms)
      result.push_back(key.second);
  return result;
}

void Store::stop() {
  Stopping = true;
  Changed.notify_all();
  for (const auto &it : Doors)
    it->stop();
  Port.stop();
}

uint64_t Store::commit(const std::vector<Change> &changes) {
  const std::lock_guard lock(Guard);
  return commitLocked(changes);
}

uint64_t Store::commitLocked(const std::vector<Change> &changes) {
  ++Version;
  for (const Change &it : changes)
    Rows[{it.Table, it.Key}] = {Version, it};
  Changed.notify_all();
  return Version;
}

void Store::put(const std::string &table, const std::string &key,
                const Json &value) {
  commit({{table, key, value.dump(), false}});
}

void Store::remove(const std::string &table, const std::string &key) {
  commit({{table, key, "", true}});
}

Json Store::rowJson(const Row &row) {
  Json result = {{"table", row.Last.Table},
                 {"part", ""},
                 {"key", row.Last.Key},
                 {"schema_version", row.Version}};
  if (row.Last.Removed)
    result["removed"] = true;
  else
    result["value"] = base64(row.Last.Value);
  return result;
}

void Store::serve(Connection &connection, size_t door) {
  Message request;
  while (!Stopping && connection.read(request, false, -1)) {
    int status = 200;
    const std::string body = answer(request, door, status);
    if (!connection.write(
            fmt::format("HTTP/1.1 {} -\r\nContent-Type: application/json\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        status, body.size(), body)))
      return;
  }
}

std::string Store::answer(const Message &request, size_t door, int &status) {
  const std::string target = request.target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = queryOf(target);
  if (path == "/orioletally/rows-tx")
    return transact(request.Body, status);
  if (path == "/orioletally/rows-get")
    return rowsOf(query);
  if (path == "/orioletally/rows-feed") {
    const std::lock_guard lock(Guard);
    if (query.contains("wait_ms") && query.at("wait_ms") != "0")
      WatchedAt[{query.at("table"), door}] = nowMs();
  }
  if (path == "/orioletally/rows-feed")
    return feedOf(query, status);
  status = 404;
  return "{}";
}

std::string Store::transact(const std::string &body, int &status) {
  const Json call = Json::parse(body);
  const std::lock_guard lock(Guard);
  for (const Json &it : call.value("expected_rev", Json::array())) {
    const auto found = Rows.find({it["table"], it["key"]});
    const bool exists = found != Rows.end() && !found->second.Last.Removed;
    const uint64_t version = exists ? found->second.Version : 0;
    if (version != it["schema_version"].get<uint64_t>())
      status = 412;
  }
  Json rows = Json::array();
  if (status == 412) {
    for (const Json &it : call["expected_rev"]) {
      const auto found = Rows.find({it["table"], it["key"]});
      if (found != Rows.end() && !found->second.Last.Removed)
        rows.push_back(rowJson(found->second));
    }
    return Json{
        {"rows", rows}, {"schema_version", Version}, {"now_ms", nowMs()}}
        .dump();
  }
  std::vector<Change> changes;
  for (const Json &it : call.value("put", Json::array()))
    changes.push_back({it["table"], it["key"],
                       fromBase64(it["value"].get<std::string>()), false});
  for (const Json &it : call.value("delete", Json::array()))
    changes.push_back({it["table"], it["key"], "", true});
  commitLocked(changes);
  return Json{{"schema_version", Version}, {"now_ms", nowMs()}}.dump();
}

std::string Store::rowsOf(const std::map<std::string, std::string> &query) {
  const std::lock_guard lock(Guard);
  const std::string table = query.at("table");
  const std::string from = query.contains("from") ? query.at("from") : "";
  Json rows = Json::array();
  for (const auto &[key, row] : Rows)
    if (key.first == table && key.second >= from && !row.Last.Removed)
      rows.push_back(rowJson(row));
  return Json{{"rows", rows},
              {"has_more", false},
              {"schema_version", Version},
              {"now_ms", nowMs()}}
      .dump();
}

std::string Store::feedOf(const std::map<std::string, std::string> &query,
                          int &status) {
  const std::string table = query.at("table");
  const uint64_t since = std::stoull(query.at("since_rev"));
  const int64_t until =
      nowMs() +
      (query.contains("wait_ms") ? std::stoll(query.at("wait_ms")) : 0);
  std::unique_lock lock(Guard);
  status = 200;
  for (;;) {
    std::vector<const Row *> changed;
    for (const auto &[key, row] : Rows)
      if (key.first == table && row.Version > since)
        changed.push_back(&row);
    const int64_t left = until - nowMs();
    if (!changed.empty() || left <= 0 || Stopping) {
      std::stable_sort(changed.begin(), changed.end(),
                       [](const Row *one, const Row *other) {
                         return one->Version < other->Version;
                       });
      Json rows = Json::array();
      for (const Row *it : changed)
        rows.push_back(rowJson(*it));
      return Json{
          {"rows", rows}, {"schema_version", Version}, {"now_ms", nowMs()}}
          .dump();
    }
    Changed.wait_for(lock, std::chrono::milliseconds(left));
  }
}

Worker::Worker(std::string id, std::string service, int64_t workMs)
    : Id(std::move(id)), Service(std::move(service)), WorkMs(workMs),
      BornMs(unixMs()) {
  Port.start([this](Connection &it) { serve(it); });
}

Json Worker::entry(const std::string &state) const {
  return {{"service", Service}, {"address", address()},
          {"zone", "north-a"},  {"version", "v1"},
          {"slots", 16},        {"state", state},
          {"seq", 0},           {"cold_remaining_ms", 0},
          {"born", BornMs}};
}

void Worker::exit() {
  record(fmt::format("worker {} ends", Id));
  Port.stop();
}

std::vector<Worker::Arrival> Worker::arrivals() const {
  const std::lock_guard lock(Guard);
  return Arrivals;
}

void Worker::serve(Connection &connection) {
  Message request;
  while (!Port.isStopping() && connection.read(request, false, -1)) {
    const std::string expected =
        request.header("X-Orioletally-Expect-Instance");
    if (!expected.empty() && expected != Id) {
      connection.write(fmt::format(
          "HTTP/1.1 421 Misdirected Request\r\nX-Orioletally-Instance-Id: "
          "{}\r\nContent-Length: 0\r\n\r\n",
          Id));
      continue;
    }
    const std::string attempt = request.header("X-Orioletally-Attempt-Id");
    size_t n = 0;
    {
      const std::lock_guard lock(Guard);
      n = Arrivals.size();
      Arrivals.push_back({nowMs(), attempt, false});
    }
    record(fmt::format("worker {} runs {}", Id, attempt));
    sleepMs(WorkMs);
    const std::string body = "done " + attempt;
    const bool isWritten =
        !Port.isStopping() &&
        connection.write(fmt::format(
            "HTTP/1.1 200 OK\r\nX-Orioletally-Attempt-Id: {}\r\n"
            "X-Orioletally-Response-Signature: sig.{}\r\n"
            "X-Orioletally-Instance-Id: {}\r\nKeep-Alive: timeout=15\r\n"
            "Content-Length: {}\r\n\r\n{}",
            attempt, attempt, Id, body.size(), body));
    const std::lock_guard lock(Guard);
    Arrivals[n].IsAnswered = isWritten;
  }
}

std::string nextLoopbackIp() {
  static int n = 0;
  const int pid = static_cast<int>(::getpid());
  return fmt::format("127.{}.{}.{}", 20 + pid / 250 % 200, 1 + pid % 250,
                     10 + n++);
}

Node::Node(std::string name, const std::string &ip, const std::string &store)
    : Name(std::move(name)), Ip(ip),
      Front(fmt::format("{}:{}", ip, freePort(ip))),
      Ready(fmt::format("{}:{}", ip, freePort(ip))),
      Peers(fmt::format("{}:{}", ip, freePort(ip))),
      SettingsFile(fmt::format("{}/{}.toml", environment("TMPDIR"), Name)),
      LogFile(fmt::format("{}/{}.log", environment("TMPDIR"), Name)) {
  writeSettings(store);
}

Node::~Node() {
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
}

void Node::writeSettings(const std::string &store) {
  std::ifstream in("deploy/settings.toml.in");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const size_t colon = Peers.rfind(':');
  const std::map<std::string, std::string> values = {
      {"node", Name},
      {"zone", "north-a"},
      {"region", "north"},
      {"limits.max_fds", "4100"},
      {"limits.memory_mb", "260"},
      {"bounds.grace_s", "8"},
      {"listen.front", Front},
      {"listen.ready", Ready},
      {"ip", Ip},
      {"port_range.0", Peers.substr(colon + 1)},
      {"platform.address", store},
      {"bounds.config_deadline_ms", "2000"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_slack", "104"},
      {"bounds.budget_window_s", "10"}};
  for (const auto &[key, value] : values) {
    const std::string mark = "{{" + key + "}}";
    for (size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark))
      text.replace(at, mark.size(), value);
  }
  if (text.empty() || text.find("{{") != std::string::npos)
    cannotRun("the template of the settings has an unknown placeholder");
  std::ofstream(SettingsFile) << text;
}

void Node::start() {
  record(fmt::format("node {} starts", Name));
  const pid_t parent = ::getpid();
  Pid = ::fork();
  if (Pid < 0)
    cannotRun("fork failed");
  if (Pid > 0)
    return;
  const int log =
      ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("ORIOLETALLY_SETTINGS", SettingsFile.c_str(), 1);
  // The node must not outlive the case.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent)
    std::_Exit(1);
  ::execl("target/orioletally", "target/orioletally", "entry", nullptr);
  std::_Exit(1);
}

void Node::signal(int number) {
  record(fmt::format("node {} gets {}", Name, ::strsignal(number)));
  if (Pid > 0)
    ::kill(Pid, number);
}

bool Node::isRunning() {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid) {
    record(fmt::format("node {} has ended", Name));
    Pid = -1;
  }
  return Pid > 0;
}

bool Node::awaitEnd(int64_t timeoutMs) {
  const int64_t until = nowMs() + timeoutMs;
  while (isRunning() && nowMs() < until)
    sleepMs(10);
  return Pid < 0;
}

bool Node::isReady() const {
  const auto connection = Connection::open(Ready);
  Message answer;
  return connection != nullptr &&
         connection->write("GET /orioletally/readiness HTTP/1.1\r\nHost: "
                           "node\r\nConnection: close\r\n\r\n") &&
         connection->read(answer, true, 1000) && answer.status() == 200;
}

void Node::awaitReady() {
  const int64_t until = nowMs() + 10'000;
  while (!isReady()) {
    if (nowMs() > until || !isRunning())
      cannotRun("node " + Name + " isn't ready");
    sleepMs(50);
  }
  record(fmt::format("node {} is ready", Name));
}

Outcome Consumers::send(const std::string &node, const std::string &front,
                        const Request &request, const std::string &attemptId) {
  Outcome result;
  result.AttemptId = attemptId;
  result.Node = node;
  result.SentAt = nowMs();
  const auto connection = Connection::open(front);
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nX-Orioletally-Attempt-Id: {}"
                  "\r\nX-Orioletally-Deadline-Ms: {}\r\n",
                  request.Method, request.Target, request.Host, attemptId,
                  request.TimeLimitMs);
  if (!request.Key.empty())
    text += fmt::format("Authorization: Token {}\r\n", request.Key);
  for (const auto &[name, value] : request.Headers)
    text += fmt::format("{}: {}\r\n", name, value);
  if (request.Method != "GET")
    text += fmt::format("Content-Length: {}\r\n", request.Body.size());
  text += "\r\n" + request.Body;
  if (connection != nullptr && connection->write(text) &&
      connection->read(result.Answer, true,
                       static_cast<int>(request.TimeLimitMs)))
    result.Status = result.Answer.status();
  result.EndedAt = nowMs();
  return result;
}

void Consumers::press(const Node &node, Request request, int64_t everyMs) {
  Threads.emplace_back([this, &node, request = std::move(request), everyMs] {
    std::list<std::thread> pending;
    int64_t next = nowMs();
    while (!Stopping) {
      const std::string id = nextAttemptId();
      pending.emplace_back([this, &node, request, id] {
        Outcome it = send(node.name(), node.front(), request, id);
        record(fmt::format("{} sent to {} at {}: {}", id, it.Node, it.SentAt,
                           it.Status == 0 ? "no answer"
                                          : std::to_string(it.Status)));
        const std::lock_guard lock(Guard);
        Outcomes.push_back(std::move(it));
      });
      next += everyMs;
      sleepUntil(next);
    }
    for (std::thread &it : pending)
      it.join();
  });
}

void Consumers::stop() {
  Stopping = true;
  for (std::thread &it : Threads)
    it.join();
  Threads.clear();
}

std::vector<Outcome> Consumers::outcomes() const {
  const std::lock_guard lock(Guard);
  return Outcomes;
}

Json manifest(int64_t version, const std::string &kind,
              const std::string &service, int64_t timeoutMs,
              int64_t maxAttempts) {
  return {
      {"version", version},
      {"routes",
       {{{"name", "r-desk"},
         {"host", "desk.example"},
         {"prefix", "/desk/"},
         {"kind", kind},
         {"timeout_ms", timeoutMs},
         {"target_latency_ms", 500},
         {"priority", 2},
         {"service", service},
         {"max_attempts", maxAttempts},
         {"public", false}}}},
      {"services",
       {{{"name", service},
         {"health_path", "/health"},
         {"max_conns", 100},
         {"protocol", "h1"},
         {"tls", false}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "clinic"}, {"api_keys", {"k1clinic"}}, {"priority", 1}}}}};
}

} // namespace review
