#include "server_stand_in.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <limits>
#include <utility>

#include "http_messages.h"
#include "sockets.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// s; subtracted from the remaining time for the timeout of a second-tier call, to leave time for the
// response.
constexpr double kCallMargin = 0.02;

http::status status_of(ServerStandIn::Outcome outcome) {
  switch (outcome) {
    case ServerStandIn::Outcome::kCompleted:
      return http::status::ok;
    case ServerStandIn::Outcome::kFailed:
      return http::status::internal_server_error;
    default:
      return http::status::service_unavailable;
  }
}

}  // namespace

ServerStandIn::ServerStandIn(asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                             const Actor& actor, const bench::ScenarioServer& spec, const Endpoint& endpoint,
                             Origin origin, HttpClient* second_tier_client, std::uint64_t seed)
    : io_(io),
      scenario_(scenario),
      history_(history),
      actor_(actor),
      spec_(spec),
      endpoint_(endpoint),
      origin_(std::move(origin)),
      second_tier_client_(second_tier_client),
      random_(seed),
      acceptor_(io),
      model_timer_(io),
      model_(spec.capacity, -std::numeric_limits<double>::infinity()) {}

ServerStandIn::~ServerStandIn() { stop(); }

void ServerStandIn::start(bool cold) {
  if (is_up()) return;
  ++generation_;
  if (cold) model_.restart(history_.now());
  endpoint_ = listen_at(acceptor_, endpoint_);
  asio::co_spawn(io_, accept(generation_), asio::detached);
}

void ServerStandIn::stop() {
  if (!is_up()) return;
  ++generation_;
  error_code ignored;
  acceptor_.close(ignored);
  model_timer_.cancel(ignored);
  for (const std::shared_ptr<Socket>& socket : sockets_) reset_connection(*socket);
  sockets_.clear();
  model_.take_all();
  for (const auto& [request_number, waiter] : std::exchange(in_service_, {})) waiter->timer.cancel(ignored);
  for (const std::shared_ptr<Waiter>& waiter : std::exchange(queue_, {})) waiter->timer.cancel(ignored);
  slots_in_use_ = 0;
}

void ServerStandIn::slow_down(double factor) {
  advance_model();
  model_.slow_down(factor);
}

asio::awaitable<void> ServerStandIn::accept(std::uint64_t generation) {
  for (;;) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error || generation != generation_) co_return;
    socket.set_option(tcp::no_delay(true), error);
    const auto shared_socket = std::make_shared<Socket>(std::move(socket));
    sockets_.push_back(shared_socket);
    asio::co_spawn(io_, serve(shared_socket, generation), asio::detached);
  }
}

ServerStandIn::IncomingRequest ServerStandIn::parse(const http::request<http::string_body>& request) {
  IncomingRequest out;
  out.id = std::string(request["X-Request-ID"]);
  out.class_name = std::string(request["X-Priority-Class"]);
  out.idempotency_key = std::string(request["Idempotency-Key"]);
  out.tenant = std::string(request["X-Tenant-Id"]);
  out.has_body = request.method() == http::verb::post;
  out.timeout = std::strtod(std::string(request["X-Timeout-Ms"]).c_str(), nullptr) / 1000;
  const std::string target(request.target());
  out.operation_id = target.substr(target.rfind('/') + 1);
  return out;
}

asio::awaitable<void> ServerStandIn::serve(std::shared_ptr<Socket> socket, std::uint64_t generation) {
  boost::beast::flat_buffer buffer;
  error_code error;
  const unsigned short port = socket->remote_endpoint(error).port();
  while (!error) {
    http::request<http::string_body> request;
    co_await http::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (generation != generation_) co_return;
    if (error) break;
    const IncomingRequest incoming = parse(request);
    const Admission admission = admit(incoming, port);
    if (admission.kind == Admission::Kind::kNoResponse) continue;  // the connection stays open
    Outcome outcome = Outcome::kFailed;
    if (admission.kind == Admission::Kind::kReject) {
      outcome = Outcome::kRejected;
    } else if (admission.kind == Admission::Kind::kProcess) {
      outcome = co_await handle(incoming, admission.work, generation);
    }
    if (generation != generation_ || outcome == Outcome::kLost) co_return;
    const auto response = server_response(status_of(outcome), incoming.id);
    co_await http::async_write(*socket, response, asio::redirect_error(asio::use_awaitable, error));
    if (generation != generation_) co_return;
  }
  error_code ignored;
  socket->close(ignored);
  sockets_.remove(socket);
}

double ServerStandIn::draw_work(const IncomingRequest& request) {
  const bench::LoadClass& c = scenario_.class_named(request.class_name);
  const double share = actor_.kind == ActorKind::kBackend ? scenario_.chain.share / scenario_.chain.calls
                       : second_tier_client_ != nullptr   ? 1 - scenario_.chain.share
                                                          : 1;
  return c.service.draw(random_) * share;
}

Record ServerStandIn::received(const IncomingRequest& request, double work, unsigned short port) const {
  Record out;
  out.t = history_.now();
  out.what = Record::What::kServerReceived;
  out.by = actor_;
  out.id = request.id;
  out.operation_id = request.operation_id;
  out.tier = actor_.kind == ActorKind::kBackend ? 1 : 0;
  out.last_byte_sent_at = out.t;
  if (const auto from = origin_(port)) {
    out.to = from->from;
    out.last_byte_sent_at = history_.at(from->last_read);
  }
  out.work = work;
  out.cold_capacity = model_.warmth(out.t) < 1 ? model_.rate(out.t, 1) : 0;
  return out;
}

// Decides how a request is handled, and records its arrival with the decision.
ServerStandIn::Admission ServerStandIn::admit(const IncomingRequest& request, unsigned short port) {
  const double work = draw_work(request);
  Record arrival = received(request, work, port);
  const bool fails = random_.unit() < fail_share_, mute = random_.unit() < mute_share_;
  const std::size_t queued = queue_.size();
  advance_model();
  arrival.flag = fails || mute || !is_full(queued);
  history_.add(arrival);
  const auto kind = mute            ? Admission::Kind::kNoResponse
                    : !arrival.flag ? Admission::Kind::kReject
                    : fails         ? Admission::Kind::kFail
                                    : Admission::Kind::kProcess;
  return {kind, work};
}

// `queued`: requests that were waiting for a slot when this one arrived.
bool ServerStandIn::is_full(std::size_t queued) const {
  const bench::Capacity& capacity = spec_.capacity;
  if (capacity.workers <= 0) return false;
  if (second_tier_client_ != nullptr)
    return slots_in_use_ >= capacity.workers && queued >= static_cast<std::size_t>(capacity.queue);
  return model_.running() >= capacity.workers && model_.waiting() >= capacity.queue;
}

asio::awaitable<ServerStandIn::Outcome> ServerStandIn::handle(const IncomingRequest& request, double work,
                                                              std::uint64_t generation) {
  const double deadline = history_.now() + request.timeout;
  if (second_tier_client_ == nullptr) co_return co_await run_in_model(work, generation);
  if (spec_.capacity.workers > 0) {
    if (slots_in_use_ < spec_.capacity.workers) {
      ++slots_in_use_;
    } else {
      const auto waiter = std::make_shared<Waiter>(io_);
      queue_.push_back(waiter);
      co_await wait(waiter);
      if (generation != generation_) co_return Outcome::kLost;
    }
  }
  Outcome outcome = co_await run_in_model(work, generation);
  if (generation == generation_ && outcome == Outcome::kCompleted)
    outcome = co_await call_second_tier(request, deadline, generation);
  if (generation == generation_) release_slot();
  co_return outcome;
}

asio::awaitable<ServerStandIn::Outcome> ServerStandIn::call_second_tier(const IncomingRequest& request,
                                                                        double deadline,
                                                                        std::uint64_t generation) {
  for (int call_index = 0; call_index < scenario_.chain.calls; ++call_index) {
    ClientRequest call;
    call.id = request.id + "." + std::to_string(actor_.number) + "." + std::to_string(++call_count_);
    call.operation_id = request.operation_id;
    call.class_name = request.class_name;
    call.tenant = request.tenant;
    if (!request.idempotency_key.empty())
      call.idempotency_key = request.idempotency_key + "." + std::to_string(call_index);
    call.has_body = request.has_body;
    call.tier = 1;
    for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
      if (scenario_.classes[i].name == request.class_name) call.request_class = static_cast<int>(i);
    }
    call.timeout = deadline - kCallMargin - history_.now();
    if (call.timeout <= 0) co_return Outcome::kFailed;
    const ClientResponse response = co_await second_tier_client_->send_request(call);
    if (generation != generation_) co_return Outcome::kLost;
    if (response.status != 200) co_return Outcome::kFailed;
  }
  co_return Outcome::kCompleted;
}

asio::awaitable<ServerStandIn::Outcome> ServerStandIn::run_in_model(double work, std::uint64_t generation) {
  advance_model();
  const std::uint64_t request_number = ++request_count_;
  if (!model_.arrive(history_.now(), request_number, work)) co_return Outcome::kRejected;
  const auto waiter = std::make_shared<Waiter>(io_);
  in_service_[request_number] = waiter;
  schedule_completion();
  co_await wait(waiter);
  if (generation != generation_) co_return Outcome::kLost;
  work_done_ += work;
  co_return Outcome::kCompleted;
}

asio::awaitable<void> ServerStandIn::wait(const std::shared_ptr<Waiter>& waiter) {
  error_code ignored;
  if (!waiter->done) co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void ServerStandIn::release_slot() {
  if (queue_.empty()) {
    slots_in_use_ -= slots_in_use_ > 0 ? 1 : 0;
    return;
  }
  const std::shared_ptr<Waiter> next = queue_.front();
  queue_.pop_front();
  next->done = true;
  next->timer.cancel();
}

void ServerStandIn::advance_model() {
  std::vector<std::uint64_t> ended;
  model_.advance(history_.now(), ended);
  for (const std::uint64_t request_number : ended) {
    const auto it = in_service_.find(request_number);
    if (it == in_service_.end()) continue;
    it->second->done = true;
    it->second->timer.cancel();
    in_service_.erase(it);
  }
}

void ServerStandIn::schedule_completion() {
  const std::optional<double> next = model_.next();
  if (!next) return;
  model_timer_.expires_at(history_.time_of(*next));
  model_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    advance_model();
    schedule_completion();
  });
}

}  // namespace thymewood::fleet
