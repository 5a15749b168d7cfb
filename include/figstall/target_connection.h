// One HTTP connection to a target, with at most one request on it. Its state is
// always known: opening, idle, busy or closed; once in doubt it is closed and
// never used again.
#ifndef FIGSTALL_TARGET_CONNECTION_H_
#define FIGSTALL_TARGET_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "figstall/clock.h"
#include "figstall/http_message.h"
#include "figstall/records.h"

namespace figstall {

// How far a request had come when its connection broke.
enum class FailureStage {
  // No byte of it was sent.
  kNotSent,
  // Sent, and not one byte of an answer came.
  kNoAnswer,
  // An answer began and is not whole, or is no answer in the protocol.
  kAnswerCut,
};

struct ResponseObserver {
  // False: the answer belongs to another request; it is read and dropped, and
  // the own one is waited for.
  std::function<bool(const ResponseHead& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void()> on_end;
  std::function<void(FailureStage point, const std::string& why)> on_error;
};

class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  // `on_closed` is called once the connection is closed for good.
  TargetConnection(boost::asio::io_context& io,
                   Endpoint target,
                   std::function<void()> on_closed);

  // The connection must be new or idle.
  void Send(std::shared_ptr<const HttpRequest> request,
            ResponseObserver observer);
  // Closes at once, so that the target stops work; nothing is observed after.
  void Cancel();
  // Stops and goes on with reading the answer's body.
  void Pause() { paused_ = true; }
  void Resume();

  bool idle() const { return open_ && !busy_; }
  bool used() const { return answers_ > 0; }
  // Whether an idle connection is surely still kept open by the target.
  bool IsUsableAt(Instant now) const { return now < usable_until_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Parse();
  void ResetParser();
  void TakeHead();
  void FinishAnswer();
  void Break(const std::string& why);
  void Close();

  Tcp::socket socket_;
  const Endpoint target_;
  const std::function<void()> on_closed_;
  bool open_ = false;
  bool busy_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool written_ = false;
  bool sending_ = false;
  bool head_seen_ = false;
  // The answer being read belongs to another request.
  bool foreign_ = false;
  bool saw_foreign_ = false;
  std::uint32_t foreign_answers_ = 0;
  bool answer_begun_ = false;
  std::uint32_t answers_ = 0;
  Instant usable_until_{};
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::shared_ptr<const HttpRequest> request_;
  std::optional<
      boost::beast::http::request_serializer<boost::beast::http::string_body>>
      serializer_;
  ResponseObserver observer_;
};

}  // namespace figstall

#endif  // FIGSTALL_TARGET_CONNECTION_H_
