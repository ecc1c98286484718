// Conversion of what daemons report to each other to and from frames and beats.
#pragma once

#include "row_catch_up.h"
#include "table_follower.h"

#include "balsamwheel/detail/load/target_selector.h"

#include "link/peer_link.h"

namespace balsamwheel {

void setRowsSeen(LinkFrame &Frame, const RowsSeen &Seen);
RowsSeen rowsSeenOf(const LinkFrame &Frame);

/// Sets the age of the operators' table; after setRowsSeen(), because the frame
/// has one era for all versions of the operators' rows.
void setCurrent(LinkFrame &Frame,
                const std::optional<TableFollower::Current> &Current);
std::optional<TableFollower::Current> currentOf(const LinkFrame &Frame);

std::unique_ptr<link_wire::GateStateT> gateToWire(const GateReport &Report);
GateReport gateFromWire(const link_wire::GateStateT &Wire);

/// Values that don't fit are sent as the greatest that do.
link_wire::GateBeat gateToBeat(const GateReport &Report);
GateReport gateFromBeat(const link_wire::GateBeat &Beat);

link_wire::RowsBeat rowsToBeat(const RowsSeen &Seen);
RowsSeen rowsFromBeat(const link_wire::RowsBeat &Beat);

/// \param Seen the rows that the sender knows; a beat with the age of the table
/// has no era of its own.
std::optional<link_wire::AgeBeat>
ageToBeat(const std::optional<TableFollower::Current> &Current,
          const RowsSeen &Seen);
TableFollower::Current ageFromBeat(const link_wire::AgeBeat &Beat,
                                   const RowsSeen &Seen);

} // namespace balsamwheel
