// A body of HTTP messages, for Boost.Beast, that several messages share without
// a copy: the attempts of one request.
#ifndef FIGSTALL_SHARED_BODY_H_
#define FIGSTALL_SHARED_BODY_H_

#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace figstall {

struct SharedBody {
  // Null for no body.
  using value_type = std::shared_ptr<const std::string>;

  static std::uint64_t size(const value_type& body) {
    return body ? body->size() : 0;
  }

  // The BodyWriter concept of Boost.Beast prescribes this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class writer {
   public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool is_request, typename Fields>
    writer(const boost::beast::http::header<is_request, Fields>& /*header*/,
           const value_type& body)
        : body_(body) {}

    void init(boost::system::error_code& error) { error = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(
        boost::system::error_code& error) {
      error = {};
      if (!body_)
        return boost::none;
      return {{const_buffers_type(body_->data(), body_->size()), false}};
    }

   private:
    const value_type& body_;
  };
};

// A request as it is sent to a target.
using TargetRequest = boost::beast::http::request<SharedBody>;

}  // namespace figstall

#endif  // FIGSTALL_SHARED_BODY_H_
