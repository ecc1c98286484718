// Encoding and decoding of the bodies of quota frames.
#include "quota_frames.h"

namespace balsamwheel {

namespace {

using link_wire::QuotaBodyT;

std::string encode(const QuotaBodyT &Body) {
  flatbuffers::FlatBufferBuilder Builder(128);
  Builder.Finish(link_wire::QuotaBody::Pack(Builder, &Body));
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

} // namespace

std::string encodeBody(const QuotaLend &Frame) {
  QuotaBodyT Body;
  Body.from_process = Frame.m_Lender.value();
  Body.to_process = Frame.m_Keeper.value();
  Body.sequence = Frame.m_Sequence.value();
  Body.stamp = Frame.m_Stamp.value();
  Body.groups = Frame.m_Groups.bits();
  Body.units = Frame.m_Units;
  return encode(Body);
}

std::string encodeBody(const QuotaStamp &Frame) {
  QuotaBodyT Body;
  Body.from_process = Frame.m_Keeper.value();
  Body.to_process = Frame.m_Lender.value();
  Body.sequence = Frame.m_Confirmed.value();
  Body.stamp = Frame.m_Stamp.value();
  Body.ended = Frame.m_Ended;
  return encode(Body);
}

std::string encodeBody(const QuotaAsk &Frame) {
  QuotaBodyT Body;
  Body.from_process = Frame.m_Asker.value();
  Body.to_process = Frame.m_Keeper.value();
  Body.sequence = Frame.m_Sequence.value();
  Body.stamp = Frame.m_Stamp.value();
  Body.organisation = Frame.m_Organisation.value();
  Body.count = Frame.m_Count;
  Body.returned = Frame.m_Returned;
  return encode(Body);
}

std::string encodeBody(const QuotaReply &Frame) {
  QuotaBodyT Body;
  Body.from_process = Frame.m_Keeper.value();
  Body.to_process = Frame.m_Asker.value();
  Body.sequence = Frame.m_Sequence.value();
  Body.organisation = Frame.m_Organisation.value();
  Body.granted = Frame.m_Granted;
  Body.wait = Frame.m_Wait.count();
  Body.spacing = Frame.m_Spacing.count();
  Body.unavailable = Frame.m_Unavailable;
  return encode(Body);
}

std::optional<QuotaBodyT> decodeQuotaBody(std::string_view Body) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Body.data());
  flatbuffers::Verifier Check(Bytes, Body.size());
  if (!Check.VerifyBuffer<link_wire::QuotaBody>(nullptr))
    return std::nullopt;
  QuotaBodyT Result;
  flatbuffers::GetRoot<link_wire::QuotaBody>(Bytes)->UnPackTo(&Result);
  return Result;
}

QuotaLend quotaLendOf(const QuotaBodyT &Body) {
  return {.m_Lender = QuotaProcess(Body.from_process),
          .m_Sequence = QuotaSequence(Body.sequence),
          .m_Keeper = QuotaProcess(Body.to_process),
          .m_Stamp = QuotaStampTime(Body.stamp),
          .m_Groups = QuotaGroups(Body.groups & AllQuotaGroups.bits()),
          .m_Units = Body.units};
}

QuotaStamp quotaStampOf(const QuotaBodyT &Body) {
  return {.m_Keeper = QuotaProcess(Body.from_process),
          .m_Stamp = QuotaStampTime(Body.stamp),
          .m_Lender = QuotaProcess(Body.to_process),
          .m_Confirmed = QuotaSequence(Body.sequence),
          .m_Ended = Body.ended};
}

QuotaAsk quotaAskOf(const QuotaBodyT &Body) {
  return {.m_Asker = QuotaProcess(Body.from_process),
          .m_Sequence = QuotaSequence(Body.sequence),
          .m_Keeper = QuotaProcess(Body.to_process),
          .m_Stamp = QuotaStampTime(Body.stamp),
          .m_Organisation = OrganisationName(Body.organisation),
          .m_Count = Body.count,
          .m_Returned = Body.returned};
}

QuotaReply quotaReplyOf(const QuotaBodyT &Body) {
  return {.m_Keeper = QuotaProcess(Body.from_process),
          .m_Asker = QuotaProcess(Body.to_process),
          .m_Sequence = QuotaSequence(Body.sequence),
          .m_Organisation = OrganisationName(Body.organisation),
          .m_Granted = Body.granted,
          .m_Wait = Duration(Body.wait),
          .m_Spacing = Duration(Body.spacing),
          .m_Unavailable = Body.unavailable};
}

} // namespace balsamwheel
