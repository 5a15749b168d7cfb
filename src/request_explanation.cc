// The JSON form and the table of an explanation, and how the data path makes
// one: as Exchange::Start(), but without effects.
#include "figstall/request_explanation.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace figstall {
namespace {

using nlohmann::json;

json MillisOrNull(const std::optional<Duration>& duration) {
  return duration ? json(ToMillis(*duration)) : json(nullptr);
}

std::string TextOf(const json& value) {
  if (value.is_null())
    return "-";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace

std::string ToJson(const RequestExplanation& explanation) {
  json services = json::array();
  for (const ServiceExplanation& service : explanation.services) {
    json targets = json::array();
    for (const TargetExplanation& target : service.targets)
      targets.push_back(
          {{"target", target.target.value()},
           {"zone", target.zone.value()},
           {"chosen", target.chosen},
           {"reason", target.reason},
           {"available_in_ms", MillisOrNull(target.available_in)},
           {"information_age_ms", MillisOrNull(target.information_age)}});
    services.push_back({{"service", service.service.value()},
                        {"weight", service.weight},
                        {"admitted_share", service.admitted_share},
                        {"chosen", service.chosen.value()},
                        {"reason", service.reason},
                        {"detail", service.detail},
                        {"targets", std::move(targets)}});
  }
  return json{{"entry", explanation.entry.value()},
              {"version", explanation.version},
              {"view_age_ms", ToMillis(explanation.view_age)},
              {"route", explanation.route},
              {"allowed_regions", explanation.allowed_regions},
              {"reason", explanation.reason},
              {"services", std::move(services)}}
      .dump(2);
}

std::string ExplanationTable(const std::string& explanation_json) {
  const json all = json::parse(explanation_json);
  std::string text = fmt::format(
      "entry {}, desired state {}, view {} ms old\nroute {}, allowed regions "
      "{}\n",
      TextOf(all.at("entry")), TextOf(all.at("version")),
      TextOf(all.at("view_age_ms")), TextOf(all.at("route")),
      TextOf(all.at("allowed_regions")));
  if (!all.at("reason").get<std::string>().empty())
    text += fmt::format("refused: {}\n", TextOf(all.at("reason")));
  for (const json& service : all.at("services")) {
    text +=
        fmt::format("\nservice {}, weight {}: ", TextOf(service.at("service")),
                    TextOf(service.at("weight")));
    const std::string chosen = service.at("chosen");
    text += chosen.empty() ? fmt::format("no target, {}: {}\n",
                                         TextOf(service.at("reason")),
                                         TextOf(service.at("detail")))
                           : fmt::format("target {}\n", chosen);
    if (const double share = service.at("admitted_share"); share < 1)
      text +=
          fmt::format("limit on hot keys: {:.0f} % admitted\n", share * 100);
    text += fmt::format("  {:<24} {:<16} {:<20} {:>9} {:>9}\n", "target",
                        "zone", "reason", "free ms", "age ms");
    for (const json& target : service.at("targets")) {
      const std::string reason = target.at("reason");
      const bool is_chosen = target.at("chosen");
      text += fmt::format("{} {:<24} {:<16} {:<20} {:>9} {:>9}\n",
                          is_chosen ? '*' : ' ', TextOf(target.at("target")),
                          TextOf(target.at("zone")),
                          is_chosen        ? "chosen"
                          : reason.empty() ? "another preferred"
                                           : reason,
                          TextOf(target.at("available_in_ms")),
                          TextOf(target.at("information_age_ms")));
    }
  }
  return text;
}

}  // namespace figstall
