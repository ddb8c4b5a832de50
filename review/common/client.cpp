#include "client.h"

#include <array>
#include <optional>
#include <random>

namespace review {
namespace {

struct ClassProfile {
  const char* name;
  Effect effect;
  double timeout;  // s; how long the client waits, 0.5 to 0.6 of the class's give-up time
};
constexpr ClassProfile kKeyed{"fault-mark", Effect::kKeyed, 1.4};
constexpr ClassProfile kUnsafe{"test-close", Effect::kUnsafe, 3.3};
constexpr double kUnsafeShare = 0.45;
// s; a later answer counts as none ("up to half a second after its time it only earns nothing").
constexpr double kAnswerSlack = 0.5;

constexpr std::array<const char*, 5> kTenants{"seobu-centre", "dongbu-centre", "namgu-centre", "bukgu-centre",
                                              "hwasun-centre"};

std::string request_text(const ClassProfile& profile, const std::string& id, const char* tenant) {
  const std::string body = "{\"request\":\"" + id + "\"}";
  std::string text = std::string("POST /") + profile.name + "/" + id + " HTTP/1.1\r\nHost: origin.svc\r\n";
  text += "X-Request-ID: " + id + "\r\nX-Priority-Class: " + profile.name + "\r\n";
  text += std::string("X-Tenant-Id: ") + tenant + "\r\n";
  text += "X-Timeout-Ms: " + std::to_string(static_cast<int>(profile.timeout * 1000)) + "\r\n";
  if (profile.effect == Effect::kKeyed) text += "Idempotency-Key: key-" + id + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> read_message(const Socket& socket, double deadline) {
  MessageParser parser;
  while (socket.wait_readable(deadline)) {
    const std::string bytes = socket.receive();
    if (bytes.empty()) return std::nullopt;
    parser.append(bytes);
    if (std::optional<Message> message = parser.next()) return message;
  }
  return std::nullopt;
}

std::string status_of(const Message& message) {
  const std::size_t space = message.start_line.find(' ');
  return space == std::string::npos ? std::string() : message.start_line.substr(space + 1, 3);
}

AnswerKind kind_of(const std::optional<Message>& answer, const std::string& id) {
  if (!answer) return AnswerKind::kNone;
  const std::string status = status_of(*answer);
  if (status == "503" || status == "429") return AnswerKind::kRefused;
  if (status != "200") return AnswerKind::kFailed;
  const std::string expected = " for " + id + "\n";
  const bool is_own =
      answer->body.size() > expected.size() &&
      answer->body.compare(answer->body.size() - expected.size(), expected.size(), expected) == 0;
  return is_own ? AnswerKind::kServed : AnswerKind::kForeign;
}

}  // namespace

Clients::Clients(int node, int port, int count, std::uint64_t seed, Ledger& ledger)
    : node_(node), port_(port), ledger_(ledger) {
  for (int client = 0; client < count; ++client) {
    threads_.emplace_back([this, client, seed] { run(client, seed + static_cast<std::uint64_t>(client)); });
  }
}

void Clients::stop() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Clients::run(int client, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> unit(0, 1);
  Socket socket;
  constexpr double kPauseAfterRefusal = 0.3;  // s
  for (int number = 0; !is_stopping_; ++number) {
    if (!socket.is_open()) socket = connect_to(port_);
    if (!socket.is_open()) {
      sleep_until(now() + kPauseAfterRefusal);
      continue;
    }
    const ClassProfile& profile = unit(random) < kUnsafeShare ? kUnsafe : kKeyed;
    const std::string id =
        "n" + std::to_string(node_) + "-c" + std::to_string(client) + "-" + std::to_string(number);
    const auto tenant = static_cast<std::size_t>(unit(random) * static_cast<double>(kTenants.size()));
    ledger_.add_sent(node_, id, profile.effect);
    const double sent_at = now();
    if (!socket.send_all(request_text(profile, id, kTenants.at(tenant)))) {
      socket.close();  // the node had closed it between two requests and has not read this one
      continue;
    }
    const std::optional<Message> answer = read_message(socket, sent_at + profile.timeout + kAnswerSlack);
    const AnswerKind kind = kind_of(answer, id);
    std::string text = answer ? answer->start_line + " | " + answer->body : "none";
    while (!text.empty() && text.back() == '\n') text.pop_back();
    ledger_.add_answer({now(), id, profile.effect, kind}, text);
    if (!answer || answer->field("connection") == "close") socket.close();
    if (kind == AnswerKind::kRefused) sleep_until(now() + kPauseAfterRefusal);
  }
}

bool wait_until_healthy(int port, double seconds) {
  const double deadline = now() + seconds;
  constexpr double kInterval = 0.1;  // s
  while (now() < deadline) {
    const Socket socket = connect_to(port);
    if (socket.is_open() &&
        socket.send_all("GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")) {
      const std::optional<Message> answer = read_message(socket, now() + 1);
      if (answer && status_of(*answer) == "200") return true;
    }
    sleep_until(now() + kInterval);
  }
  return false;
}

}  // namespace review
