// The fields of reports on the wire.
#include "report_format.h"

#include <algorithm>
#include <limits>

namespace balsamwheel {

namespace {

/// Converts a value that isn't negative to a field that may be too small.
template <typename Field, typename Value> Field saturated(Value Source) {
  return static_cast<Field>(std::clamp<Value>(
      Source, 0, static_cast<Value>(std::numeric_limits<Field>::max())));
}

} // namespace

void setRowsSeen(LinkFrame &Frame, const RowsSeen &Seen) {
  Frame.operator_rows_era = Seen.m_Operators.m_Era.value();
  Frame.operator_rows_seen = Seen.m_Operators.m_Version.value();
  Frame.own_rows_era = Seen.m_Own.m_Era.value();
  Frame.own_rows_seen = Seen.m_Own.m_Version.value();
  Frame.config_version = Seen.m_Configuration.value();
}

RowsSeen rowsSeenOf(const LinkFrame &Frame) {
  return {.m_Operators = {.m_Era = StoreEra(Frame.operator_rows_era),
                          .m_Version = RowVersion(Frame.operator_rows_seen)},
          .m_Own = {.m_Era = StoreEra(Frame.own_rows_era),
                    .m_Version = RowVersion(Frame.own_rows_seen)},
          .m_Configuration = ConfigVersion(Frame.config_version)};
}

void setCurrent(LinkFrame &Frame,
                const std::optional<TableFollower::Current> &Current) {
  // The frame has one era for all versions of the operators' rows.
  if (!Current || Current->m_Position.m_Era.value() != Frame.operator_rows_era)
    return;
  Frame.operator_rows_position = Current->m_Position.m_Version.value();
  Frame.operator_rows_time = Current->m_At.value();
}

std::optional<TableFollower::Current> currentOf(const LinkFrame &Frame) {
  if (Frame.operator_rows_time == 0)
    return std::nullopt;
  return TableFollower::Current{
      .m_Position = {.m_Era = StoreEra(Frame.operator_rows_era),
                     .m_Version = RowVersion(Frame.operator_rows_position)},
      .m_At = StoreTime(Frame.operator_rows_time)};
}

GateReport gateFromWire(const link_wire::GateStateT &Wire) {
  return {.m_Running = Wire.running,
          .m_Waiting = Wire.waiting,
          .m_Slots = Wire.slots,
          .m_Service = Duration(Wire.service),
          .m_RateLimit = Wire.rate_limit,
          .m_SpareTokens = Wire.spare_tokens,
          .m_LinkWait = Duration(Wire.link_wait)};
}

std::unique_ptr<link_wire::GateStateT> gateToWire(const GateReport &Report) {
  auto Result = std::make_unique<link_wire::GateStateT>();
  Result->running = Report.m_Running;
  Result->waiting = Report.m_Waiting;
  Result->slots = Report.m_Slots;
  Result->service = Report.m_Service.count();
  Result->rate_limit = Report.m_RateLimit;
  Result->spare_tokens = Report.m_SpareTokens;
  Result->link_wait = Report.m_LinkWait.count();
  return Result;
}

link_wire::GateBeat gateToBeat(const GateReport &Report) {
  return {saturated<std::uint32_t>(Report.m_Service.count()),
          saturated<std::uint32_t>(Report.m_LinkWait.count()),
          static_cast<float>(Report.m_RateLimit),
          static_cast<float>(Report.m_SpareTokens),
          saturated<std::uint16_t>(Report.m_Running),
          saturated<std::uint16_t>(Report.m_Waiting),
          saturated<std::uint16_t>(Report.m_Slots),
          0};
}

GateReport gateFromBeat(const link_wire::GateBeat &Beat) {
  return {.m_Running = Beat.running(),
          .m_Waiting = Beat.waiting(),
          .m_Slots = Beat.slots(),
          .m_Service = Duration(Beat.service()),
          .m_RateLimit = Beat.rate_limit(),
          .m_SpareTokens = Beat.spare_tokens(),
          .m_LinkWait = Duration(Beat.link_wait())};
}

link_wire::RowsBeat rowsToBeat(const RowsSeen &Seen) {
  return {Seen.m_Operators.m_Era.value(), Seen.m_Operators.m_Version.value(),
          Seen.m_Own.m_Era.value(), Seen.m_Own.m_Version.value(),
          Seen.m_Configuration.value()};
}

RowsSeen rowsFromBeat(const link_wire::RowsBeat &Beat) {
  return {.m_Operators = {.m_Era = StoreEra(Beat.operator_rows_era()),
                          .m_Version = RowVersion(Beat.operator_rows_seen())},
          .m_Own = {.m_Era = StoreEra(Beat.own_rows_era()),
                    .m_Version = RowVersion(Beat.own_rows_seen())},
          .m_Configuration = ConfigVersion(Beat.config_version())};
}

std::optional<link_wire::AgeBeat>
ageToBeat(const std::optional<TableFollower::Current> &Current,
          const RowsSeen &Seen) {
  if (!Current || Current->m_Position.m_Era != Seen.m_Operators.m_Era)
    return std::nullopt;
  return link_wire::AgeBeat(Current->m_Position.m_Version.value(),
                            Current->m_At.value());
}

TableFollower::Current ageFromBeat(const link_wire::AgeBeat &Beat,
                                   const RowsSeen &Seen) {
  return {
      .m_Position = {.m_Era = Seen.m_Operators.m_Era,
                     .m_Version = RowVersion(Beat.operator_rows_position())},
      .m_At = StoreTime(Beat.operator_rows_time())};
}

} // namespace balsamwheel
