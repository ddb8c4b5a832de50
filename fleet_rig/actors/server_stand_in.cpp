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

// s; by which the timeout of a call to the second tier is shorter than the time left, for the way back.
constexpr double kCallMargin = 0.02;

http::status status_of(ServerStandIn::Fate fate) {
  switch (fate) {
    case ServerStandIn::Fate::kCompleted:
      return http::status::ok;
    case ServerStandIn::Fate::kFailed:
      return http::status::internal_server_error;
    default:
      return http::status::service_unavailable;
  }
}

}  // namespace

ServerStandIn::ServerStandIn(asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                             const Actor& who, const bench::ScenarioServer& spec, const Endpoint& where,
                             Origin origin, HttpClient* calls, std::uint64_t seed)
    : io_(io),
      scenario_(scenario),
      history_(history),
      who_(who),
      spec_(spec),
      where_(where),
      origin_(std::move(origin)),
      calls_(calls),
      random_(seed),
      acceptor_(io),
      next_(io),
      model_(spec.capacity, -std::numeric_limits<double>::infinity()) {}

ServerStandIn::~ServerStandIn() { down(); }

void ServerStandIn::up(bool cold) {
  if (is_up()) return;
  ++life_;
  if (cold) model_.restart(history_.now());
  where_ = listen_at(acceptor_, where_);
  asio::co_spawn(io_, accept(life_), asio::detached);
}

void ServerStandIn::down() {
  if (!is_up()) return;
  ++life_;
  error_code ignored;
  acceptor_.close(ignored);
  next_.cancel(ignored);
  for (const std::shared_ptr<Socket>& socket : sockets_) reset_connection(*socket);
  sockets_.clear();
  model_.take_all();
  for (const auto& [number, waiter] : std::exchange(working_, {})) waiter->timer.cancel(ignored);
  for (const std::shared_ptr<Waiter>& waiter : std::exchange(queue_, {})) waiter->timer.cancel(ignored);
  slots_ = 0;
}

void ServerStandIn::slow_down(double factor) {
  act();
  model_.slow_down(factor);
}

asio::awaitable<void> ServerStandIn::accept(std::uint64_t life) {
  for (;;) {
    error_code problem;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, problem));
    if (problem || life != life_) co_return;
    socket.set_option(tcp::no_delay(true), problem);
    const auto held = std::make_shared<Socket>(std::move(socket));
    sockets_.push_back(held);
    asio::co_spawn(io_, serve(held, life), asio::detached);
  }
}

ServerStandIn::IncomingRequest ServerStandIn::parse(const http::request<http::string_body>& request) {
  IncomingRequest out;
  out.id = std::string(request["X-Request-ID"]);
  out.class_name = std::string(request["X-Priority-Class"]);
  out.key = std::string(request["Idempotency-Key"]);
  out.tenant = std::string(request["X-Tenant-Id"]);
  out.body = request.method() == http::verb::post;
  out.time = std::strtod(std::string(request["X-Timeout-Ms"]).c_str(), nullptr) / 1000;
  const std::string target(request.target());
  out.first = target.substr(target.rfind('/') + 1);
  return out;
}

asio::awaitable<void> ServerStandIn::serve(std::shared_ptr<Socket> socket, std::uint64_t life) {
  boost::beast::flat_buffer buffer;
  error_code problem;
  const unsigned short port = socket->remote_endpoint(problem).port();
  while (!problem) {
    http::request<http::string_body> request;
    co_await http::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, problem));
    if (life != life_) co_return;
    if (problem) break;
    const IncomingRequest incoming = parse(request);
    const Admission admission = admit(incoming, port);
    if (admission.kind == Admission::Kind::kNoResponse) continue;  // the connection stays open
    Fate fate = Fate::kFailed;
    if (admission.kind == Admission::Kind::kReject) {
      fate = Fate::kRejected;
    } else if (admission.kind == Admission::Kind::kProcess) {
      fate = co_await handle(incoming, admission.work, life);
    }
    if (life != life_ || fate == Fate::kLost) co_return;
    const auto answer = server_response(status_of(fate), incoming.id);
    co_await http::async_write(*socket, answer, asio::redirect_error(asio::use_awaitable, problem));
    if (life != life_) co_return;
  }
  error_code ignored;
  socket->close(ignored);
  sockets_.remove(socket);
}

double ServerStandIn::draw_work(const IncomingRequest& request) {
  const bench::LoadClass& c = scenario_.class_named(request.class_name);
  const double share = who_.kind == ActorKind::kBackend ? scenario_.chain.share / scenario_.chain.calls
                       : calls_ != nullptr              ? 1 - scenario_.chain.share
                                                        : 1;
  return c.service.draw(random_) * share;
}

Record ServerStandIn::received(const IncomingRequest& request, double work, unsigned short port) const {
  Record out;
  out.t = history_.now();
  out.what = Record::What::kServerReceived;
  out.by = who_;
  out.id = request.id;
  out.first = request.first;
  out.tier = who_.kind == ActorKind::kBackend ? 1 : 0;
  out.left = out.t;
  if (const auto from = origin_(port)) {
    out.to = from->from;
    out.left = history_.at(from->last_read);
  }
  out.work = work;
  out.cold = model_.warmth(out.t) < 1 ? model_.rate(out.t, 1) : 0;
  return out;
}

// Decides what becomes of a request, and records its arrival with that.
ServerStandIn::Admission ServerStandIn::admit(const IncomingRequest& request, unsigned short port) {
  const double work = draw_work(request);
  Record came = received(request, work, port);
  const bool fails = random_.unit() < fail_, mute = random_.unit() < mute_;
  const std::size_t queued = queue_.size();
  act();
  came.yes = fails || mute || !is_full(queued);
  history_.add(came);
  const auto kind = mute        ? Admission::Kind::kNoResponse
                    : !came.yes ? Admission::Kind::kReject
                    : fails     ? Admission::Kind::kFail
                                : Admission::Kind::kProcess;
  return {kind, work};
}

// `queued`: how many waited for a slot when the request arrived.
bool ServerStandIn::is_full(std::size_t queued) const {
  const bench::Capacity& capacity = spec_.capacity;
  if (capacity.workers <= 0) return false;
  if (calls_ != nullptr)
    return slots_ >= capacity.workers && queued >= static_cast<std::size_t>(capacity.queue);
  return model_.running() >= capacity.workers && model_.waiting() >= capacity.queue;
}

asio::awaitable<ServerStandIn::Fate> ServerStandIn::handle(const IncomingRequest& request, double work,
                                                           std::uint64_t life) {
  const double until = history_.now() + request.time;
  if (calls_ == nullptr) co_return co_await run_in_model(work, life);
  if (spec_.capacity.workers > 0) {
    if (slots_ < spec_.capacity.workers) {
      ++slots_;
    } else {
      const auto waiter = std::make_shared<Waiter>(io_);
      queue_.push_back(waiter);
      co_await wait(waiter);
      if (life != life_) co_return Fate::kLost;
    }
  }
  Fate fate = co_await run_in_model(work, life);
  if (life == life_ && fate == Fate::kCompleted) fate = co_await call_second_tier(request, until, life);
  if (life == life_) release_slot();
  co_return fate;
}

asio::awaitable<ServerStandIn::Fate> ServerStandIn::call_second_tier(const IncomingRequest& request,
                                                                     double until, std::uint64_t life) {
  for (int k = 0; k < scenario_.chain.calls; ++k) {
    ClientRequest call;
    call.id = request.id + "." + std::to_string(who_.number) + "." + std::to_string(++calls_made_);
    call.first = request.first;
    call.class_name = request.class_name;
    call.tenant = request.tenant;
    if (!request.key.empty()) call.key = request.key + "." + std::to_string(k);
    call.body = request.body;
    call.tier = 1;
    for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
      if (scenario_.classes[i].name == request.class_name) call.request_class = static_cast<int>(i);
    }
    call.time = until - kCallMargin - history_.now();
    if (call.time <= 0) co_return Fate::kFailed;
    const ClientResponse reply = co_await calls_->ask(call);
    if (life != life_) co_return Fate::kLost;
    if (reply.status != 200) co_return Fate::kFailed;
  }
  co_return Fate::kCompleted;
}

asio::awaitable<ServerStandIn::Fate> ServerStandIn::run_in_model(double work, std::uint64_t life) {
  act();
  const std::uint64_t number = ++requests_;
  if (!model_.arrive(history_.now(), number, work)) co_return Fate::kRejected;
  const auto waiter = std::make_shared<Waiter>(io_);
  working_[number] = waiter;
  plan();
  co_await wait(waiter);
  if (life != life_) co_return Fate::kLost;
  work_done_ += work;
  co_return Fate::kCompleted;
}

asio::awaitable<void> ServerStandIn::wait(const std::shared_ptr<Waiter>& waiter) {
  error_code ignored;
  if (!waiter->over) co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void ServerStandIn::release_slot() {
  if (queue_.empty()) {
    slots_ -= slots_ > 0 ? 1 : 0;
    return;
  }
  const std::shared_ptr<Waiter> next = queue_.front();
  queue_.pop_front();
  next->over = true;
  next->timer.cancel();
}

void ServerStandIn::act() {
  std::vector<std::uint64_t> ended;
  model_.advance(history_.now(), ended);
  for (const std::uint64_t number : ended) {
    const auto at = working_.find(number);
    if (at == working_.end()) continue;
    at->second->over = true;
    at->second->timer.cancel();
    working_.erase(at);
  }
}

void ServerStandIn::plan() {
  const std::optional<double> next = model_.next();
  if (!next) return;
  next_.expires_at(history_.time_of(*next));
  next_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    act();
    plan();
  });
}

}  // namespace thymewood::fleet
