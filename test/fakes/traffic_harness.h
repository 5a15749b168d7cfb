// An EntryTraffic in this process, with callers and targets on loopback sockets
// of the same loop. What a target answers is a function of the test.
#ifndef FIGSTALL_TEST_FAKES_TRAFFIC_HARNESS_H_
#define FIGSTALL_TEST_FAKES_TRAFFIC_HARNESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include "figstall/entry_traffic.h"
#include "platform/decode.h"

namespace figstall {

// Answers requests without a body. An empty answer means none.
class ScriptedTarget {
 public:
  using Answer = std::function<std::string(const std::string& request)>;

  ScriptedTarget(boost::asio::io_context& io, Answer answer)
      : answer_(std::move(answer)),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int requests() const { return requests_; }
  int connections() const { return connections_; }

 private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf input;
    std::string output;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error)
        return;
      ++connections_;
      Serve(std::make_shared<Session>(std::move(socket)));
      Accept();
    });
  }
  void Serve(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(
        session->socket, session->input, "\r\n\r\n",
        [this, session](boost::system::error_code error, std::size_t size) {
          if (error)
            return;
          const auto begin = boost::asio::buffers_begin(session->input.data());
          const std::string request(begin, begin + static_cast<long>(size));
          session->input.consume(size);
          ++requests_;
          session->output = answer_(request);
          boost::asio::async_write(
              session->socket, boost::asio::buffer(session->output),
              [this, session](boost::system::error_code failed, std::size_t) {
                if (!failed)
                  Serve(session);
              });
        });
  }

  const Answer answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int requests_ = 0;
  int connections_ = 0;
};

// The value of a header field, or empty.
inline std::string FieldOf(const std::string& message,
                           const std::string& name) {
  const std::size_t found = message.find("\r\n" + name + ": ");
  if (found == std::string::npos)
    return "";
  const std::size_t begin = found + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}

// A target's response to a request. `fields`: further lines of its head.
inline std::string ResponseTo(const std::string& request,
                              const std::string& status,
                              const std::string& body = "",
                              const std::string& fields = "") {
  return "HTTP/1.1 " + status +
         " X\r\nRequest-Id: " + FieldOf(request, "Request-Id") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
         fields + "\r\n" + body;
}

class TrafficHarness {
 public:
  // Received by a caller until its connection was closed.
  struct Call {
    std::string received;
    bool closed = false;

    int status() const {
      return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
    }
  };

  explicit TrafficHarness(const std::string& desired_state) {
    view.regions = {{ZoneId("north-a"), RegionId("north")},
                    {ZoneId("south-a"), RegionId("south")}};
    SetDesiredState(desired_state);
    traffic.Listen();
  }

  void SetDesiredState(const std::string& text) {
    view.routes = std::make_shared<const RouteIndex>(
        HandleError([&] { return platform::DecodeDesiredState(text); },
                    [](const Error& error) -> DesiredState {
                      throw std::logic_error(error.message);
                    }));
    traffic.OnViewChanged();
  }
  ScriptedTarget& AddTarget(const std::string& id,
                            const std::string& service,
                            const std::string& zone,
                            ScriptedTarget::Answer answer) {
    auto& target = targets_[id];
    target = std::make_unique<ScriptedTarget>(io_, std::move(answer));
    TargetEntry entry;
    entry.incarnation = {TargetId(id), 1};
    entry.address = target->address();
    entry.service = ServiceId(service);
    entry.zone = ZoneId(zone);
    entry.slots = 4;
    view.targets[TargetId(id)] = entry;
    traffic.OnViewChanged();
    return *target;
  }
  // The target gets all keys of its service.
  void SetOwner(const std::string& id, RangePhase phase) {
    const TargetEntry& target = view.targets.at(TargetId(id));
    RangeTable table;
    RangeEntry entry;
    entry.range = {0, static_cast<ShardKey>(kKeySpaceSize - 1)};
    entry.owner = target.incarnation;
    entry.fence = 1;
    entry.phase = phase;
    table.entries = {entry};
    view.tables[target.service] = table;
    traffic.OnViewChanged();
  }
  // Sends a request, which need not be answered yet.
  std::shared_ptr<const Call> Send(const std::string& path,
                                   const std::string& fields = "") {
    return SendText("GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
                    std::to_string(++calls_) + "\r\nConnection: close\r\n" +
                    fields + "\r\n");
  }
  std::shared_ptr<const Call> SendText(const std::string& text) {
    struct Caller {
      explicit Caller(boost::asio::io_context& io) : socket(io) {}
      boost::asio::ip::tcp::socket socket;
      std::string input;
    };
    const auto caller = std::make_shared<Caller>(io_);
    const auto call = std::make_shared<Call>();
    caller->socket.connect(traffic.callers_endpoint());
    boost::asio::write(caller->socket, boost::asio::buffer(text));
    boost::asio::async_read(
        caller->socket, boost::asio::dynamic_buffer(call->received),
        [caller, call](boost::system::error_code, std::size_t) {
          call->closed = true;
        });
    return call;
  }
  // Runs until the response is complete or `limit` has passed.
  void Await(const Call& call, Duration limit = std::chrono::seconds(5)) {
    for (const Instant end = BootNow() + limit;
         !call.closed && BootNow() < end;) {
      io_.run_for(std::chrono::milliseconds(5));
      io_.restart();
      traffic.Tick(BootNow(), BootNow());
    }
  }
  std::shared_ptr<const Call> Get(const std::string& path,
                                  const std::string& fields = "") {
    const auto call = Send(path, fields);
    Await(*call);
    return call;
  }

 private:
  static EntrySettings MakeSettings() {
    EntrySettings settings;
    settings.callers = {"127.0.0.1", 0};
    settings.zone = ZoneId("north-a");
    settings.region = RegionId("north");
    settings.max_request_bytes = 1 << 24;
    // Each request pays for any number of retries.
    settings.retries.ratio = 100;
    return settings;
  }

  static SendCredits::Handlers IgnoringHandlers() {
    return {
        [](const VmId&, const CreditMessage&) {},
        [](const VmId&, const TargetIncarnation&, const RateLimit&) {},
        [](const VmId&, const TargetIncarnation&, const WarmUpStatement&) {},
        [](const TargetIncarnation&, const VmId&) {}};
  }

  struct CloseFile {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  boost::asio::io_context io_;
  std::map<std::string, std::unique_ptr<ScriptedTarget>> targets_;
  int calls_ = 0;
  const std::unique_ptr<std::FILE, CloseFile> log_file_{
      std::fopen("/dev/null", "w")};

 public:
  const EntrySettings settings = MakeSettings();
  EntryView view;
  Log log{"test", LogLevel::kError, LogFormat::kJson, log_file_.get()};
  Metrics metrics;
  TargetNoticeRecorder notices{log, metrics, std::nullopt,
                               [](const auto&...) {}};
  SendCredits credits{VmId("self"), notices.notices(), notices.warm_ups(),
                      IgnoringHandlers()};
  EntryTraffic traffic{io_, settings, view, notices, credits, log, metrics};
};

}  // namespace figstall

#endif  // FIGSTALL_TEST_FAKES_TRAFFIC_HARNESS_H_
