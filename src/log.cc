// Formats log lines as text or JSON, and writes them in batches.
#include "figstall/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace figstall {
namespace {

constexpr std::size_t kRingCapacityLines = 65'536;
constexpr std::chrono::milliseconds kPopTimeout{1000};
constexpr std::size_t kBatchBytes = 65'536;

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::string Timestamp() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis);
}

// Whether a JSON string of the text needs no escapes.
bool IsPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte >= 0x20 && byte < 0x7f && c != '"' && c != '\\';
  });
}

std::string QuoteJson(std::string_view text) {
  if (IsPlain(text)) {
    std::string quoted;
    quoted.reserve(text.size() + 2);
    quoted += '"';
    quoted += text;
    return quoted += '"';
  }
  using nlohmann::json;
  return json(std::string(text))
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

// Quotes a value that is empty or contains white space, a quote, an equals sign
// or a backslash, so that a line can be split at its spaces.
std::string TextValue(std::string_view text) {
  const bool plain =
      !text.empty() && text.find_first_of(" \"=\n\r\t\\") == text.npos;
  return plain ? std::string(text) : QuoteJson(text);
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  if (text == "debug")
    return LogLevel::kDebug;
  if (text == "info")
    return LogLevel::kInfo;
  if (text == "warning")
    return LogLevel::kWarning;
  if (text == "error")
    return LogLevel::kError;
  return std::nullopt;
}

std::optional<LogFormat> ParseLogFormat(std::string_view text) {
  if (text == "text")
    return LogFormat::kText;
  if (text == "json")
    return LogFormat::kJson;
  return std::nullopt;
}

Log::Log(std::string process,
         LogLevel level,
         LogFormat format,
         std::FILE* stream)
    : process_(std::move(process)),
      level_(level),
      format_(format),
      stream_(stream),
      lines_(kRingCapacityLines),
      writer_([this] { Run(); }) {}

Log::~Log() {
  lines_.Close();
  writer_.join();
}

void Log::Write(LogLevel level,
                std::string_view event,
                std::initializer_list<Field> fields) {
  if (!Enabled(level))
    return;
  std::string line;
  if (format_ == LogFormat::kJson) {
    line = fmt::format(R"({{"time":"{}","level":"{}","process":{},"event":{})",
                       Timestamp(), LevelName(level), QuoteJson(process_),
                       QuoteJson(event));
    for (const auto& [name, value] : fields)
      line += fmt::format(",{}:{}", QuoteJson(name), QuoteJson(value));
    line += "}\n";
  } else {
    line = fmt::format("{} {} {} {}", Timestamp(), LevelName(level), process_,
                       event);
    for (const auto& [name, value] : fields)
      line += fmt::format(" {}={}", name, TextValue(value));
    line += "\n";
  }
  if (!lines_.TryPush(std::move(line)))
    ++dropped_;
}

void Log::Run() {
  std::string batch;
  for (;;) {
    // Writes all lines that are in the ring together, up to kBatchBytes.
    auto line = lines_.Pop(kPopTimeout);
    if (!line && lines_.closed())
      return;
    for (; line; line = lines_.Pop(std::chrono::milliseconds(0))) {
      batch += *line;
      if (batch.size() >= kBatchBytes)
        break;
    }
    std::fwrite(batch.data(), 1, batch.size(), stream_);
    std::fflush(stream_);
    batch.clear();
  }
}

}  // namespace figstall
