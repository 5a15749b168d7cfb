// The figstall-load program. It runs many callers at once, limits the number of
// requests and the time, and writes one JSON line for each request so that the
// outcomes can be checked.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

#include "figstall/caller_request.h"
#include "figstall/clock.h"
#include "figstall/http_client.h"
#include "process.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr const char* kUsage =
    R"(figstall-load: sends requests to routers and reports how they ended.

Usage:
  figstall-load --routers LIST --service NAME [options]

Options:
  --routers LIST       Callers' addresses of routers, separated by commas.
  --service NAME       Service to call.
  --connections N      Callers at once [default: 8].
  --requests N         Requests in all [default: 1000].
  --seconds N          Stop after this time at the latest [default: 30].
  --pause-us N         Pause of each caller between requests [default: 0].
  --keys N             Number of keys [default: 1000].
  --skew S             Exponent of the keys' Zipf distribution [default: 0].
  --method METHOD      GET, or POST for requests that must not be repeated
                       [default: GET].
  --repeats N          How often a caller repeats a POST whose outcome was not
                       an answer, with the same id [default: 2].
  --query TEXT         Query to add, such as bytes=1000 [default: ].
  --deadline-ms N      Deadline of each request [default: 2000].
  --seed N             Seed of the keys drawn [default: 1].
  --report FILE        Writes a JSON line for each request to FILE.
  --direct             Send /SERVICE/KEY without the version, as to a target.

Prints one JSON object: requests by outcome, rate, and latency percentiles.
)";

struct LoadOptions {
  std::vector<std::string> routers;
  std::string service;
  std::string method;
  std::string query;
  std::string report_path;
  int connections = 0;
  std::int64_t requests = 0;
  Duration time_limit{0};
  Duration pause{0};
  std::size_t key_count = 0;
  double skew = 0;
  int repeats = 0;
  int deadline_ms = 0;
  unsigned seed = 0;
  bool direct = false;
};

// Draws key indexes from a Zipf distribution whose exponent `skew` may be any
// number from 0 up.
class ZipfDistribution {
 public:
  ZipfDistribution(std::size_t key_count, double skew)
      : cumulative_weights_(key_count) {
    double total = 0;
    for (std::size_t i = 0; i < key_count; ++i) {
      total += 1.0 / std::pow(static_cast<double>(i + 1), skew);
      cumulative_weights_[i] = total;
    }
  }

  template <typename Generator>
  std::size_t Draw(Generator& generator) const {
    boost::random::uniform_real_distribution<double> uniform(
        0, cumulative_weights_.back());
    const auto found =
        std::lower_bound(cumulative_weights_.begin(), cumulative_weights_.end(),
                         uniform(generator));
    return static_cast<std::size_t>(found - cumulative_weights_.begin());
  }

 private:
  std::vector<double> cumulative_weights_;
};

struct RequestSample {
  std::string outcome;
  Duration latency{0};
};

class LoadRun {
 public:
  explicit LoadRun(LoadOptions options)
      : options_(std::move(options)),
        key_distribution_(options_.key_count, options_.skew),
        stop_time_(BootNow() + options_.time_limit) {
    if (!options_.report_path.empty())
      report_.open(options_.report_path);
  }

  json Run() {
    const Instant begin = BootNow();
    std::vector<std::thread> callers;
    std::vector<std::vector<RequestSample>> samples(options_.connections);
    callers.reserve(samples.size());
    for (int i = 0; i < options_.connections; ++i)
      callers.emplace_back([this, i, &samples] { RunCaller(i, samples[i]); });
    for (std::thread& caller : callers)
      caller.join();
    std::vector<RequestSample> all;
    for (const auto& caller_samples : samples)
      all.insert(all.end(), caller_samples.begin(), caller_samples.end());
    return Summarize(all, BootNow() - begin);
  }

 private:
  void RunCaller(int caller, std::vector<RequestSample>& samples) {
    HttpClient client(options_.routers.size());
    boost::random::mt19937_64 generator(options_.seed * 7919 + caller);
    while (BootNow() < stop_time_) {
      const std::int64_t request_number = requests_started_++;
      if (request_number >= options_.requests)
        return;
      samples.push_back(RunRequest(client, generator, request_number));
      if (options_.pause > Duration{0})
        std::this_thread::sleep_for(options_.pause);
    }
  }

  template <typename Generator>
  RequestSample RunRequest(HttpClient& client,
                           Generator& generator,
                           std::int64_t request_number) {
    const std::string key =
        fmt::format("key-{}", key_distribution_.Draw(generator));
    const std::string token =
        fmt::format("r{}-{}", options_.seed, request_number);
    boost::random::uniform_int_distribution<std::size_t> random_router(
        0, options_.routers.size() - 1);
    const Instant begin = BootNow();
    const bool is_post = options_.method == "POST";
    std::string id;
    if (is_post && !options_.direct)
      id = FetchRequestId(client, random_router(generator));
    json line;
    std::string outcome;
    for (int repeat = 0; repeat <= (is_post ? options_.repeats : 0); ++repeat) {
      json next = SendRequest(client, random_router(generator), key, token, id);
      // A repeat that reached no router says nothing about earlier uses of the
      // request id, so an unknown outcome of those is kept.
      const bool keep_previous =
          outcome == "unknown" && next.at("reason") == "no-router";
      if (!keep_previous)
        line = std::move(next);
      outcome = line.at("outcome");
      if (outcome == "answered")
        break;
    }
    const Instant end = BootNow();
    line["key"] = key;
    line["token"] = token;
    line["method"] = options_.method;
    line["service"] = options_.service;
    line["begin_us"] = begin.time_since_epoch().count();
    line["end_us"] = end.time_since_epoch().count();
    if (report_.is_open()) {
      const std::lock_guard lock(report_mutex_);
      report_ << line.dump() << "\n";
    }
    return {outcome, end - begin};
  }

  // Asks one router after the other, from number `router` on, for a request id.
  // Returns "" if none issues one.
  std::string FetchRequestId(HttpClient& client, std::size_t router) {
    HttpClientRequest request;
    request.method = "POST";
    for (std::size_t i = 0; i < options_.routers.size(); ++i) {
      const std::size_t index = (router + i) % options_.routers.size();
      request.url =
          "http://" + options_.routers[index] + "/figstall/request-ids";
      const HttpResult result = client.Perform(request);
      const bool issued =
          result.failure == HttpFailure::kNone && result.response.status == 200;
      if (issued)
        return json::parse(result.response.body).at("id");
    }
    return "";
  }

  // Sends the request to router number `router`, as a load balancer does: the
  // next router is tried only if nothing was sent to the previous one.
  json SendRequest(HttpClient& client,
                   std::size_t router,
                   const std::string& key,
                   const std::string& token,
                   const std::string& id) {
    HttpClientRequest request;
    request.method = options_.method;
    request.timeout = std::chrono::milliseconds(2 * options_.deadline_ms);
    request.fresh_connection = options_.method != "GET";
    request.headers = {
        fmt::format("{}: {}", kDeadlineHeader, options_.deadline_ms)};
    if (!id.empty())
      request.headers.push_back(fmt::format("{}: {}", kRequestIdHeader, id));
    if (options_.method == "POST")
      request.body = token;
    const std::string path = fmt::format(
        "{}/{}/{}/{}{}{}", options_.direct ? "" : "/v1", options_.service, key,
        token, options_.query.empty() ? "" : "?", options_.query);
    HttpResult result;
    for (std::size_t i = 0; i < options_.routers.size(); ++i) {
      const std::size_t index = (router + i) % options_.routers.size();
      request.url = "http://" + options_.routers[index] + path;
      result = client.Perform(request);
      if (result.failure != HttpFailure::kNotSent)
        break;
    }
    return MakeReportLine(result, token, id);
  }

  json MakeReportLine(const HttpResult& result,
                      const std::string& token,
                      const std::string& id) const {
    json line = {{"id", id}, {"status", result.response.status}};
    if (result.failure == HttpFailure::kNotSent) {
      line["outcome"] = "not-run";
      line["reason"] = "no-router";
      return line;
    }
    if (result.failure != HttpFailure::kNone) {
      line["outcome"] = "unknown";
      line["reason"] = "router-lost";
      return line;
    }
    const auto& headers = result.response.headers;
    const auto header = [&](const char* name, const char* fallback) {
      const auto found = headers.find(name);
      return found == headers.end() ? std::string(fallback) : found->second;
    };
    line["outcome"] =
        header("figstall-outcome", options_.direct ? "answered" : "unknown");
    line["reason"] = header("figstall-reason", "");
    line["target"] = header("figstall-target", "");
    line["bytes"] = result.response.body.size();
    // False if the response belongs to another request.
    line["own"] = result.response.body.find("/" + token) != std::string::npos;
    return line;
  }

  json Summarize(const std::vector<RequestSample>& samples,
                 Duration elapsed) const {
    std::map<std::string, int> outcomes;
    std::vector<Duration> latencies;
    for (const RequestSample& sample : samples) {
      ++outcomes[sample.outcome];
      latencies.push_back(sample.latency);
    }
    std::sort(latencies.begin(), latencies.end());
    const auto percentile = [&](double fraction) {
      if (latencies.empty())
        return 0.0;
      const auto index = static_cast<std::size_t>(
          fraction * static_cast<double>(latencies.size() - 1));
      return static_cast<double>(latencies[index].count()) / 1000.0;
    };
    const double seconds = std::chrono::duration<double>(elapsed).count();
    return {{"requests", samples.size()},
            {"outcomes", outcomes},
            {"seconds", seconds},
            {"per_second", static_cast<double>(samples.size()) / seconds},
            {"p50_ms", percentile(0.50)},
            {"p99_ms", percentile(0.99)},
            {"max_ms", percentile(1.0)}};
  }

  const LoadOptions options_;
  const ZipfDistribution key_distribution_;
  const Instant stop_time_;
  std::atomic<std::int64_t> requests_started_ = 0;
  std::mutex report_mutex_;
  std::ofstream report_;
};

LoadOptions ReadOptions(const std::map<std::string, docopt::value>& arguments) {
  const auto text = [&](const char* name) {
    return arguments.at(name).asString();
  };
  const auto number = [&](const char* name) {
    return arguments.at(name).asLong();
  };
  LoadOptions options;
  std::string routers = text("--routers");
  for (std::size_t begin = 0; begin <= routers.size();) {
    const std::size_t end = std::min(routers.find(',', begin), routers.size());
    if (end > begin)
      options.routers.push_back(routers.substr(begin, end - begin));
    begin = end + 1;
  }
  if (options.routers.empty())
    throw std::runtime_error("--routers names no address");
  options.service = text("--service");
  options.method = text("--method");
  options.query = text("--query");
  if (arguments.at("--report"))
    options.report_path = text("--report");
  options.connections = static_cast<int>(number("--connections"));
  options.requests = number("--requests");
  options.time_limit = std::chrono::seconds(number("--seconds"));
  options.pause = Duration(number("--pause-us"));
  options.key_count = static_cast<std::size_t>(std::max(1L, number("--keys")));
  options.skew = std::stod(text("--skew"));
  options.repeats = static_cast<int>(number("--repeats"));
  options.deadline_ms = static_cast<int>(number("--deadline-ms"));
  options.seed = static_cast<unsigned>(number("--seed"));
  options.direct = arguments.at("--direct").asBool();
  return options;
}

}  // namespace
}  // namespace figstall

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(figstall::kUsage, {argv + 1, argv + argc}, /*help=*/true);
  return figstall::detail::RunProgram([&]() -> figstall::Result<int> {
    figstall::LoadRun run(figstall::ReadOptions(arguments));
    fmt::print("{}\n", run.Run().dump());
    return 0;
  });
}
