#include "figstall/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <thread>
#include <utility>

namespace figstall {
namespace {

constexpr std::size_t kSubmitQueueCapacity = 16'384;
constexpr int kPollTimeoutMs = 1000;

// Zero means no timeout to libcurl.
long TimeoutMillis(Duration duration) {
  return static_cast<long>(std::max<std::int64_t>(ToMillis(duration), 1));
}

void InitializeCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_ALL);
  static_cast<void>(code);
}

std::size_t AppendBody(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* context) {
  auto* body = static_cast<std::string*>(context);
  if (body->size() + size * count > kMaxResponseBytes)
    return 0;
  body->append(data, size * count);
  return size * count;
}

// The head of a response as far as it was received.
struct ReceivedHead {
  std::map<std::string, std::string>* headers = nullptr;
  // Whether the empty line after the last status line was received.
  bool complete = false;
};

std::size_t AppendHeader(char* data,
                         std::size_t size,
                         std::size_t count,
                         void* context) {
  auto* head = static_cast<ReceivedHead*>(context);
  auto* headers = head->headers;
  const std::string line(data, size * count);
  if (line.rfind("HTTP/", 0) == 0)
    head->complete = false;
  else if (line == "\r\n" || line == "\n")
    head->complete = true;
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos)
    return size * count;
  std::string name = line.substr(0, colon);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
  const std::size_t end = line.find_last_not_of(" \t\r\n");
  const bool has_value = begin != std::string::npos && begin <= end;
  (*headers)[name] = has_value ? line.substr(begin, end - begin + 1) : "";
  return size * count;
}

// A curl handle with the request data that it reads and the response that it
// fills.
class Transfer {
 public:
  Transfer() : easy_(curl_easy_init()) {}
  ~Transfer() {
    curl_slist_free_all(headers_);
    curl_easy_cleanup(easy_);
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  void Prepare(const HttpClientRequest& request) {
    curl_easy_reset(easy_);
    curl_slist_free_all(headers_);
    headers_ = nullptr;
    response_ = HttpClientResponse{};
    body_ = request.body;
    for (const std::string& line : request.headers)
      headers_ = curl_slist_append(headers_, line.c_str());
    headers_ = curl_slist_append(headers_, "Expect:");
    curl_easy_setopt(easy_, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, TimeoutMillis(request.timeout));
    curl_easy_setopt(
        easy_, CURLOPT_CONNECTTIMEOUT_MS,
        TimeoutMillis(std::min(request.timeout, request.connect_timeout)));
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, AppendBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &response_.body);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, AppendHeader);
    head_ = {&response_.headers, false};
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &head_);
    if (request.method == "HEAD")
      curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    if (request.fresh_connection)
      curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    const bool has_body =
        !body_.empty() || request.method == "POST" || request.method == "PUT";
    if (!has_body)
      return;
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, body_.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body_.size()));
  }

  HttpResult MakeResult(CURLcode code) {
    HttpResult result;
    long bytes_sent = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes_sent);
    if (code == CURLE_OK && !head_.complete) {
      // libcurl takes a connection that closes within the head for the end of
      // an empty body.
      result.failure = HttpFailure::kInvalidResponse;
      result.error = "connection closed within the head of the response";
      return result;
    }
    if (code == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
      response_.status = static_cast<int>(status);
      result.response = std::move(response_);
      return result;
    }
    result.error = curl_easy_strerror(code);
    long os_error = 0;
    curl_easy_getinfo(easy_, CURLINFO_OS_ERRNO, &os_error);
    result.connection_refused =
        code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
    if (bytes_sent == 0) {
      result.failure = HttpFailure::kNotSent;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
      result.failure = HttpFailure::kTimeout;
    } else {
      result.failure = HttpFailure::kInvalidResponse;
    }
    return result;
  }

  CURL* easy() { return easy_; }

 private:
  CURL* easy_;
  curl_slist* headers_ = nullptr;
  std::string body_;
  HttpClientResponse response_;
  ReceivedHead head_;
};

}  // namespace

class HttpClient::Handle : public Transfer {};

HttpClient::HttpClient(std::size_t max_idle) : max_idle_(max_idle) {
  InitializeCurl();
}

HttpClient::~HttpClient() = default;

HttpResult HttpClient::Perform(const HttpClientRequest& request) {
  std::unique_ptr<Handle> handle = AcquireHandle();
  handle->Prepare(request);
  HttpResult result = handle->MakeResult(curl_easy_perform(handle->easy()));
  const auto& expected = request.expected_header;
  if (result.failure == HttpFailure::kNone && !expected.first.empty()) {
    const auto echoed = result.response.headers.find(expected.first);
    const bool mismatch = echoed != result.response.headers.end() &&
                          echoed->second != expected.second;
    if (mismatch) {
      result.failure = HttpFailure::kInvalidResponse;
      result.error = "the response belongs to another request";
    }
  }
  // After a failure the handle is destroyed instead, which closes its
  // connection: a connection with an abandoned request is never reused.
  if (result.failure == HttpFailure::kNone)
    ReleaseHandle(std::move(handle));
  return result;
}

std::unique_ptr<HttpClient::Handle> HttpClient::AcquireHandle() {
  const std::lock_guard lock(mutex_);
  if (idle_.empty())
    return std::make_unique<Handle>();
  std::unique_ptr<Handle> handle = std::move(idle_.back());
  idle_.pop_back();
  return handle;
}

void HttpClient::ReleaseHandle(std::unique_ptr<Handle> handle) {
  const std::lock_guard lock(mutex_);
  if (idle_.size() < max_idle_)
    idle_.push_back(std::move(handle));
}

class AsyncHttpClient::Impl {
 public:
  Impl() : submitted_(kSubmitQueueCapacity) {
    InitializeCurl();
    multi_ = curl_multi_init();
    thread_ = std::thread([this] { Run(); });
  }

  ~Impl() {
    submitted_.Close();
    curl_multi_wakeup(multi_);
    thread_.join();
    curl_multi_cleanup(multi_);
  }

  bool Submit(HttpClientRequest request, Callback done) {
    const bool queued =
        submitted_.TryPush(Job{std::move(request), std::move(done)});
    if (queued)
      curl_multi_wakeup(multi_);
    return queued;
  }

 private:
  struct Job {
    HttpClientRequest request;
    Callback done;
  };

  struct ActiveTransfer {
    std::unique_ptr<Transfer> transfer;
    Callback done;
  };

  void Run() {
    while (!submitted_.closed()) {
      StartSubmitted();
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishCompleted();
      curl_multi_poll(multi_, nullptr, 0, kPollTimeoutMs, nullptr);
    }
    for (auto& [easy, active] : active_transfers_)
      curl_multi_remove_handle(multi_, easy);
    active_transfers_.clear();
  }

  void StartSubmitted() {
    for (;;) {
      auto job = submitted_.Pop(std::chrono::milliseconds(0));
      if (!job)
        return;
      auto transfer = AcquireTransfer();
      transfer->Prepare(job->request);
      CURL* easy = transfer->easy();
      curl_multi_add_handle(multi_, easy);
      active_transfers_[easy] =
          ActiveTransfer{std::move(transfer), std::move(job->done)};
    }
  }

  void FinishCompleted() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &messages_left)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      curl_multi_remove_handle(multi_, easy);
      ActiveTransfer active = std::move(active_transfers_.at(easy));
      active_transfers_.erase(easy);
      active.done(active.transfer->MakeResult(code));
      idle_.push_back(std::move(active.transfer));
    }
  }

  std::unique_ptr<Transfer> AcquireTransfer() {
    if (idle_.empty())
      return std::make_unique<Transfer>();
    auto transfer = std::move(idle_.back());
    idle_.pop_back();
    return transfer;
  }

  Ring<Job> submitted_;
  CURLM* multi_ = nullptr;
  std::map<CURL*, ActiveTransfer> active_transfers_;
  std::vector<std::unique_ptr<Transfer>> idle_;
  std::thread thread_;
};

AsyncHttpClient::AsyncHttpClient() : impl_(std::make_unique<Impl>()) {}

AsyncHttpClient::~AsyncHttpClient() = default;

bool AsyncHttpClient::Submit(HttpClientRequest request, Callback done) {
  return impl_->Submit(std::move(request), std::move(done));
}

}  // namespace figstall
