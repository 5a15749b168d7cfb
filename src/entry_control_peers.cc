// Implements the datagrams between members for EntryControl: reports to the
// mover, its limits for hot keys, and messages about credits.
#include <fmt/format.h>

#include <algorithm>

#include "figstall/entry_control.h"
#include "figstall/peer_datagram.h"
#include "store_keys.h"

namespace figstall {

GrantReport EntryControl::MakeGrantReport(Instant now) const {
  GrantReport report;
  for (const auto& [service, table] : granter_.tables())
    report.seen_fence[service] = table.last_fence;
  for (const auto& [owner, until] : granter_.HoldExpiries(now))
    report.holds_for[owner] = until - now;
  report.grants_ended = resigned_;
  return report;
}

std::vector<ReportedNotice> EntryControl::MakeNoticeReport(Instant now) const {
  std::vector<ReportedNotice> report;
  for (const TargetIncarnation& target : notices_.notices().Reportable()) {
    const auto listed = view_.targets.find(target.id);
    if (listed != view_.targets.end() && listed->second.incarnation == target)
      report.push_back({target, notices_.notices().SaidLeaving(target),
                        notices_.notices().StatementOf(now, target)});
  }
  for (const TargetIncarnation& target : notices_.warm_ups().Reportable(now)) {
    ReportedNotice notice;
    notice.target = target;
    notice.warm_up = notices_.warm_ups().StatementOf(now, target);
    report.push_back(std::move(notice));
  }
  return report;
}

void EntryControl::MergeGrantReport(Instant now,
                                    const VmId& vm,
                                    const std::string& incarnation,
                                    const GrantReport& report) {
  const auto found =
      member_reports_.find(detail::MemberIncarnationId(vm, incarnation));
  if (found == member_reports_.end())
    return;
  MemberReport& known = found->second;
  if (report.grants_ended && !known.grants_ended) {
    known.grants_ended = true;
    log_.Write(LogLevel::kInfo, "member-resigned",
               {{"vm", vm.value()}, {"incarnation", incarnation}});
  }
  for (const auto& [service, fence] : report.seen_fence) {
    std::uint64_t& seen = known.seen_fence[service];
    seen = std::max(seen, fence);
  }
  // Datagrams may be delayed and reordered, so the latest expiry is kept.
  std::erase_if(known.holds_until,
                [now](const auto& each) { return each.second <= now; });
  for (const auto& [owner, remaining] : report.holds_for) {
    Instant& until = known.holds_until[owner];
    until = std::max(
        until, now + settings_.grant_timing.ClampRemainingHold(remaining));
  }
}

void EntryControl::SendResignation(Instant now) {
  if (resignations_left_ == 0 ||
      now - load_reported_at_ < timing_.report_interval)
    return;
  --resignations_left_;
  load_reported_at_ = now;
  LoadReport report;
  report.vm = settings_.vm;
  report.incarnation = incarnation_;
  report.grants = MakeGrantReport(now);
  const auto datagram =
      std::make_shared<std::string>(EncodePeerDatagram(std::move(report)));
  for (const auto& [vm, member] : view_.members) {
    if (vm != settings_.vm && member.peer_endpoint.port != 0)
      SendDatagram(member.peer_endpoint, datagram);
  }
}

void EntryControl::SendReport(Instant now) {
  if (resigned_)
    return SendResignation(now);
  const bool due = now - load_reported_at_ >= timing_.report_interval ||
                   reported_table_changes_ != table_change_count_ ||
                   reported_notices_ != notices_.notices().changes();
  if (!due || !initial_read_done_)
    return;
  load_reported_at_ = now;
  reported_table_changes_ = table_change_count_;
  reported_notices_ = notices_.notices().changes();
  LoadReport report = traffic_.MakeLoadReport(now, incarnation_);
  report.grants = MakeGrantReport(now);
  report.notices = MakeNoticeReport(now);
  // Processing times change slowly and make up most of a report.
  if (now - processing_times_reported_at_ >=
      timing_.processing_time_report_interval)
    processing_times_reported_at_ = now;
  else
    report.targets.clear();
  if (IsMover(now)) {
    MergeGrantReport(now, settings_.vm, incarnation_, report.grants);
    return load_aggregator_.OnReport(now, std::move(report));
  }
  const auto mover = view_.members.find(mover_vm_);
  if (mover == view_.members.end() || mover->second.peer_endpoint.port == 0)
    return;
  SendDatagram(
      mover->second.peer_endpoint,
      std::make_shared<std::string>(EncodePeerDatagram(std::move(report))));
}

void EntryControl::SendDatagram(const Endpoint& peer,
                                const std::shared_ptr<std::string>& datagram) {
  peer_socket_.async_send_to(
      boost::asio::buffer(*datagram),
      {boost::asio::ip::make_address(peer.address), peer.port},
      [this, datagram](boost::system::error_code error, std::size_t) {
        if (error)
          ++metrics_.Counter("figstall_datagrams_lost_total", "");
      });
}

void EntryControl::SendCreditMessage(const VmId& to,
                                     const CreditMessage& message) {
  const auto endpoint = credit_endpoints_.find(to);
  if (endpoint == credit_endpoints_.end() || endpoint->second.port == 0)
    return;
  SendDatagram(
      endpoint->second,
      std::make_shared<std::string>(std::visit(
          [](const auto& each) { return EncodePeerDatagram(each); }, message)));
}

void EntryControl::AnswerCreditRequest(
    Instant now,
    const CreditRequest& request,
    const boost::asio::ip::udp::endpoint& sender) {
  const auto target = view_.targets.find(request.target.id);
  const bool known = target != view_.targets.end();
  CreditRequest considered = request;
  // A target that this process has not heard of may be warming up.
  if (!known && settings_.warm_up)
    considered.wanted = 0;
  CreditResponse response = credits_.OnRequest(
      now, considered, known ? target->second.zone : ZoneId());
  if (considered.wanted < request.wanted)
    response.backoff = timing_.unknown_target_backoff;
  ++metrics_.Counter(
      "figstall_credit_requests_total",
      response.granted > 0 ? "outcome=\"granted\"" : "outcome=\"refused\"");
  SendDatagram({sender.address().to_string(), sender.port()},
               std::make_shared<std::string>(EncodePeerDatagram(response)));
}

void EntryControl::LimitHotKeys(Instant now) {
  if (!IsMover(now) || !view_.routes ||
      now - hot_keys_checked_at_ < timing_.report_interval)
    return;
  hot_keys_checked_at_ = now;
  HotKeyLimits limits;
  limits.mover = settings_.vm;
  for (const auto& [service, table] : view_.tables) {
    AdmittedShares shares =
        ComputeAdmittedShares(table, smoothed_load_[service].load(),
                              TargetCapacities(now, service), view_.targets);
    if (!shares.empty())
      limits.services[service] = std::move(shares);
  }
  const bool limiting = !limits.services.empty();
  if (limiting != limiting_hot_keys_)
    LogHotKeyLimits(now, limits);
  if (!limiting && !limiting_hot_keys_)
    return;
  limiting_hot_keys_ = limiting;
  const auto datagram =
      std::make_shared<std::string>(EncodePeerDatagram(limits));
  for (const auto& [vm, member] : view_.members) {
    if (vm != settings_.vm && member.peer_endpoint.port != 0)
      SendDatagram(member.peer_endpoint, datagram);
  }
  view_.hot_key_limits = std::move(limits);
  view_.hot_key_limits_until = now + timing_.hot_key_limits_duration;
}

void EntryControl::LogHotKeyLimits(Instant now, const HotKeyLimits& limits) {
  if (limits.services.empty())
    return log_.Write(LogLevel::kInfo, "hot-keys-free", {{"services", "0"}});
  const auto number = [](double value) { return fmt::format("{:.2f}", value); };
  for (const auto& [service, shares] : limits.services) {
    double capacity = 0;
    for (const auto& [target, each] : TargetCapacities(now, service))
      capacity += each;
    const auto lowest =
        std::min_element(shares.begin(), shares.end(),
                         [](const AdmittedRange& a, const AdmittedRange& b) {
                           return a.share < b.share;
                         });
    log_.Write(
        LogLevel::kInfo, "hot-keys-limited",
        {{"services", std::to_string(limits.services.size())},
         {"service", service.value()},
         {"ranges", std::to_string(shares.size())},
         {"first", std::to_string(lowest->range.first)},
         {"last", std::to_string(lowest->range.last)},
         {"lowest_share", number(lowest->share)},
         {"load", number(smoothed_load_[service].load().Of(
                      {0, static_cast<ShardKey>(kKeySpaceSize - 1)}))},
         {"capacity", number(capacity)},
         {"request_ms",
          std::to_string(ToMillis(traffic_.MeanProcessingTime(service)))}});
  }
}

void EntryControl::ReceiveDatagrams() {
  peer_socket_.async_receive_from(
      boost::asio::buffer(peer_buffer_), peer_sender_,
      [this](boost::system::error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (!error) {
          HandleError(
              [&]() -> Result<void> {
                BOOST_LEAF_AUTO(
                    datagram, DecodePeerDatagram({peer_buffer_.data(), size}));
                const Instant now = BootNow();
                if (auto* report = std::get_if<LoadReport>(&datagram)) {
                  MergeGrantReport(now, report->vm, report->incarnation,
                                   report->grants);
                  // It carries nothing but the grants.
                  if (report->grants.grants_ended)
                    return {};
                  for (const ReportedNotice& notice : report->notices)
                    notices_.OnReport(now, report->vm, notice);
                  load_aggregator_.OnReport(now, std::move(*report));
                  return {};
                }
                if (const auto* request =
                        std::get_if<CreditRequest>(&datagram)) {
                  AnswerCreditRequest(now, *request, peer_sender_);
                  return {};
                }
                if (const auto* response =
                        std::get_if<CreditResponse>(&datagram)) {
                  credits_.OnResponse(now, *response);
                  traffic_.RetryWaiting();
                  return {};
                }
                auto& limits = std::get<HotKeyLimits>(datagram);
                if (limits.mover != mover_vm_)
                  return {};
                view_.hot_key_limits = std::move(limits);
                view_.hot_key_limits_until =
                    now + timing_.hot_key_limits_duration;
                return {};
              },
              [&](const Error& refused) {
                log_.Write(LogLevel::kWarning, "report-refused",
                           {{"findings", refused.message}});
              });
        }
        ReceiveDatagrams();
      });
}

}  // namespace figstall
