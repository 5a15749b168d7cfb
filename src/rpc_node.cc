#include "figstall/rpc_node.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/debug.h>

#include <future>
#include <map>
#include <thread>
#include <utility>

#include "figstall/clock.h"
#include "figstall/retry_controller.h"
#include "figstall/wire.h"

namespace figstall {
namespace {

constexpr auto kCallTimeout = 500 * kj::MILLISECONDS;
constexpr auto kOfferTimeout = 2 * kj::SECONDS;
constexpr auto kConnectTimeout = 200 * kj::MILLISECONDS;

std::string Bytes(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

capnp::Data::Reader AsData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

class StewardServer final : public wire::StewardPeer::Server {
 public:
  explicit StewardServer(StewardHandlers handlers)
      : handlers_(std::move(handlers)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    const auto params = context.getParams();
    handlers_.on_message(Read(params.getFrom()), Read(params.getMessage()));
    return kj::READY_NOW;
  }

  kj::Promise<void> offerConfiguration(
      OfferConfigurationContext context) override {
    const auto params = context.getParams();
    context.getResults().setHeld(handlers_.on_configuration(
        params.getRevision(), Bytes(params.getText())));
    return kj::READY_NOW;
  }

 private:
  const StewardHandlers handlers_;
};

class RouterServer final : public wire::RouterPeer::Server {
 public:
  explicit RouterServer(RouterHandlers handlers)
      : handlers_(std::move(handlers)) {}

  kj::Promise<void> order(OrderContext context) override {
    const HolderOrder order = Read(context.getParams().getOrder());
    Write(handlers_.on_order(order), context.getResults().initStatus());
    return kj::READY_NOW;
  }

  kj::Promise<void> offerConfiguration(
      OfferConfigurationContext context) override {
    const auto params = context.getParams();
    context.getResults().setHeld(handlers_.on_configuration(
        params.getRevision(), Bytes(params.getText())));
    return kj::READY_NOW;
  }

  kj::Promise<void> forward(ForwardContext context) override {
    const auto params = context.getParams();
    const Request request = Read(params.getRequest(), BootNow());
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Answer>();
    // std::function needs a copyable callable, so a shared_ptr owns the
    // move-only fulfiller.
    auto fulfiller =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Answer>>>(
            kj::mv(pair.fulfiller));
    handlers_.on_forward(request, params.getAsIssuer(),
                         [fulfiller](const Answer& answer) {
                           (*fulfiller)->fulfill(Answer(answer));
                         });
    return pair.promise.then([context](Answer&& answer) mutable {
      Write(answer, context.getResults().initAnswer());
    });
  }

 private:
  const RouterHandlers handlers_;
};

}  // namespace

class RpcNode::Impl {
 public:
  using MakeServer = std::function<capnp::Capability::Client()>;

  Impl(const Endpoint& listen, MakeServer make_server) {
    std::promise<void> ready;
    std::future<void> started = ready.get_future();
    thread_ = std::thread([this, listen, make_server = std::move(make_server),
                           &ready] { Run(listen, make_server, ready); });
    started.get();
  }

  ~Impl() {
    stop_->fulfill();
    thread_.join();
  }

  // Runs `job` on the event loop and waits until it has returned. Asynchronous
  // work that it started may still be in progress.
  template <typename Job>
  void RunOnEventLoop(Job job) {
    executor_->executeSync([&] { job(); });
  }

  template <typename Interface, typename Start>
  void CallAsync(const Endpoint& to, Start start) {
    RunOnEventLoop([&] {
      tasks_->add(Connect(to)
                      .then([start](capnp::Capability::Client client) {
                        return start(client.castAs<Interface>());
                      })
                      .catch_([](kj::Exception&&) {}));
    });
  }

  kj::Promise<capnp::Capability::Client> Connect(const Endpoint& to) {
    Peer& peer = peers_[to];
    if (peer.broken) {
      // This may run inside one of the connection's own callbacks, so the
      // connection is destroyed in a later turn of the event loop.
      tasks_->add(kj::evalLater([old = kj::mv(peer.connection)]() mutable {}));
      peer = Peer{};
    }
    if (peer.connection.get() != nullptr)
      return capnp::Capability::Client(peer.connection->bootstrap);
    if (peer.connecting)
      return peer.connecting->addBranch();
    auto connected =
        timer_
            ->timeoutAfter(kConnectTimeout,
                           io_->provider->getNetwork()
                               .parseAddress(to.ToString().c_str())
                               .then([](kj::Own<kj::NetworkAddress> address) {
                                 auto promise = address->connect();
                                 return promise.attach(kj::mv(address));
                               }))
            .then(
                [this, to](kj::Own<kj::AsyncIoStream> stream) {
                  Peer& entry = peers_[to];
                  DropConnecting(entry);
                  entry.connection = kj::heap<Connection>(kj::mv(stream));
                  MonitorDisconnect(to);
                  return capnp::Capability::Client(entry.connection->bootstrap);
                },
                [this, to](kj::Exception&& error) -> capnp::Capability::Client {
                  DropConnecting(peers_[to]);
                  kj::throwFatalException(kj::mv(error));
                });
    peer.connecting.emplace(connected.fork());
    return peer.connecting->addBranch();
  }

  void MarkBroken(const Endpoint& to) { peers_[to].broken = true; }

  kj::Timer& timer() { return *timer_; }
  const kj::Executor& executor() const { return *executor_; }

 private:
  // One connection to another process, with its bootstrap capability.
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened)),
          client(*stream),
          bootstrap(client.bootstrap()) {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    capnp::Capability::Client bootstrap;
  };

  struct Peer {
    kj::Own<Connection> connection;
    std::optional<kj::ForkedPromise<capnp::Capability::Client>> connecting;
    bool broken = false;
  };

  class IgnoreFailures final : public kj::TaskSet::ErrorHandler {
   public:
    void taskFailed(kj::Exception&&) override {}
  };

  void Run(const Endpoint& listen,
           const MakeServer& make_server,
           std::promise<void>& ready) {
    auto io = kj::setupAsyncIo();
    io_ = &io;
    timer_ = &io.provider->getTimer();
    IgnoreFailures ignore;
    tasks_ = kj::heap<kj::TaskSet>(ignore);
    capnp::TwoPartyServer server(make_server());
    kj::Own<kj::ConnectionReceiver> receiver;
    try {
      receiver = io.provider->getNetwork()
                     .parseAddress(listen.ToString().c_str())
                     .wait(io.waitScope)
                     ->listen();
    } catch (const kj::Exception& error) {
      ready.set_exception(std::make_exception_ptr(
          std::runtime_error("cannot listen on " + listen.ToString() + ": " +
                             error.getDescription().cStr())));
      return;
    }
    tasks_->add(server.listen(*receiver));
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stop_ = kj::mv(stop.fulfiller);
    executor_ = kj::getCurrentThreadExecutor().addRef();
    ready.set_value();
    stop.promise.wait(io.waitScope);
    // Calls in flight refer to their connections, so they are cancelled before
    // the connections are destroyed.
    tasks_ = nullptr;
    peers_.clear();
  }

  // This may run inside the promise that is dropped, so the promise is
  // destroyed in a later turn of the event loop.
  void DropConnecting(Peer& peer) {
    if (!peer.connecting)
      return;
    tasks_->add(kj::evalLater([old = kj::mv(*peer.connecting)]() mutable {}));
    peer.connecting.reset();
  }

  void MonitorDisconnect(const Endpoint& to) {
    tasks_->add(peers_[to].connection->client.onDisconnect().then(
        [this, to] { MarkBroken(to); }));
  }

  kj::AsyncIoContext* io_ = nullptr;
  kj::Timer* timer_ = nullptr;
  kj::Own<kj::TaskSet> tasks_;
  kj::Own<const kj::Executor> executor_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
  std::map<Endpoint, Peer> peers_;
  std::thread thread_;
};

RpcNode::RpcNode(const Endpoint& listen, const StewardHandlers& handlers)
    : impl_(std::make_unique<Impl>(listen,
                                   [handlers]() -> capnp::Capability::Client {
                                     return kj::heap<StewardServer>(handlers);
                                   })) {}

RpcNode::RpcNode(const Endpoint& listen, const RouterHandlers& handlers)
    : impl_(std::make_unique<Impl>(listen,
                                   [handlers]() -> capnp::Capability::Client {
                                     return kj::heap<RouterServer>(handlers);
                                   })) {}

RpcNode::~RpcNode() = default;

void RpcNode::Deliver(const Endpoint& to,
                      const StewardId& from,
                      const PeerMessage& message) {
  Impl* impl = impl_.get();
  impl->CallAsync<wire::StewardPeer>(
      to, [impl, to, from, message](wire::StewardPeer::Client client) {
        auto request = client.deliverRequest();
        Write(from, request.initFrom());
        Write(message, request.initMessage());
        return impl->timer()
            .timeoutAfter(kCallTimeout, request.send().ignoreResult())
            .catch_([impl, to](kj::Exception&&) { impl->MarkBroken(to); });
      });
}

namespace {

// Queries the revision that the other process holds, and sends the text only if
// that revision is older.
template <typename Client>
kj::Promise<void> SendIfNewer(Client client,
                              std::uint64_t revision,
                              const std::string& text) {
  auto revision_query = client.offerConfigurationRequest();
  revision_query.setRevision(revision);
  return revision_query.send().then(
      [client, revision, text](auto&& results) mutable -> kj::Promise<void> {
        if (results.getHeld() >= revision)
          return kj::READY_NOW;
        auto offer = client.offerConfigurationRequest();
        offer.setRevision(revision);
        offer.setText(AsData(text));
        return offer.send().ignoreResult();
      });
}

}  // namespace

void RpcNode::OfferConfigurationToSteward(const Endpoint& to,
                                          std::uint64_t revision,
                                          const std::string& text) {
  Impl* impl = impl_.get();
  impl->CallAsync<wire::StewardPeer>(
      to, [impl, revision, text](wire::StewardPeer::Client client) {
        return impl->timer().timeoutAfter(kOfferTimeout,
                                          SendIfNewer(client, revision, text));
      });
}

void RpcNode::OfferConfigurationToRouter(const Endpoint& to,
                                         std::uint64_t revision,
                                         const std::string& text) {
  Impl* impl = impl_.get();
  impl->CallAsync<wire::RouterPeer>(
      to, [impl, revision, text](wire::RouterPeer::Client client) {
        return impl->timer().timeoutAfter(kOfferTimeout,
                                          SendIfNewer(client, revision, text));
      });
}

void RpcNode::SendOrder(
    const Endpoint& to,
    const HolderOrder& order,
    const std::function<void(std::optional<HolderStatus>)>& done) {
  Impl* impl = impl_.get();
  impl->CallAsync<wire::RouterPeer>(
      to, [impl, to, order, done](wire::RouterPeer::Client client) {
        auto request = client.orderRequest();
        Write(order, request.initOrder());
        auto reply = request.send().then(
            [done](capnp::Response<wire::RouterPeer::OrderResults>&& results) {
              done(Read(results.getStatus()));
            });
        return impl->timer()
            .timeoutAfter(kCallTimeout, kj::mv(reply))
            .catch_([impl, to, done](kj::Exception&&) {
              impl->MarkBroken(to);
              done(std::nullopt);
            });
      });
}

Answer RpcNode::Forward(const Endpoint& to,
                        const Request& request,
                        bool as_issuer,
                        Instant now) {
  Impl* impl = impl_.get();
  const auto forward_timeout =
      (request.deadline - now).count() * kj::MICROSECONDS;
  Answer not_run_answer = NotRun(Reason::kZoneUnreachable);
  Answer unknown_answer = Unknown(Reason::kZoneUnreachable);
  return impl->executor().executeSync([&]() -> kj::Promise<Answer> {
    return impl->Connect(to).then(
        [&, impl](capnp::Capability::Client client) -> kj::Promise<Answer> {
          auto call = client.castAs<wire::RouterPeer>().forwardRequest();
          Request forwarded = request;
          forwarded.deadline = ForwardedDeadline(request.deadline, now);
          Write(forwarded, now, call.initRequest());
          call.setAsIssuer(as_issuer);
          auto reply = call.send().then(
              [](capnp::Response<wire::RouterPeer::ForwardResults>&& results) {
                return Read(results.getAnswer());
              });
          return impl->timer()
              .timeoutAfter(forward_timeout, kj::mv(reply))
              .catch_([&unknown_answer, impl, to](kj::Exception&&) {
                // The next call opens a new connection, so an unreachable
                // router is detected before the request is sent.
                impl->MarkBroken(to);
                return unknown_answer;
              });
        },
        [&not_run_answer](kj::Exception&&) -> kj::Promise<Answer> {
          return not_run_answer;
        });
  });
}

}  // namespace figstall
