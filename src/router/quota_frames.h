// Conversion of what daemons tell each other about quotas to and from the
// bodies of frames.
#pragma once

#include "balsamwheel/detail/quota/frames.h"

#include "link/peer_link.h"

#include <optional>
#include <string>
#include <string_view>

namespace balsamwheel {

std::string encodeBody(const QuotaLend &Frame);
std::string encodeBody(const QuotaStamp &Frame);
std::string encodeBody(const QuotaAsk &Frame);
std::string encodeBody(const QuotaReply &Frame);

/// Decodes a body; none when it is malformed. The kind of the frame tells which
/// of the conversions below applies.
std::optional<link_wire::QuotaBodyT> decodeQuotaBody(std::string_view Body);

QuotaLend quotaLendOf(const link_wire::QuotaBodyT &Body);
QuotaStamp quotaStampOf(const link_wire::QuotaBodyT &Body);
QuotaAsk quotaAskOf(const link_wire::QuotaBodyT &Body);
QuotaReply quotaReplyOf(const link_wire::QuotaBodyT &Body);

} // namespace balsamwheel
