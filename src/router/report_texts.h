// Encoding of the reports that a daemon sends to all its peers at one time.
#pragma once

#include "peer_mesh.h"

#include <array>
#include <string>

namespace balsamwheel {

/// The encoded reports of one round. Each is made when it is first needed, and
/// at most once.
class ReportTexts {
public:
  explicit ReportTexts(const ReportContent &Content) : m_Content(Content) {}

  const std::string &full(bool WithRates) const {
    std::string &Text = m_Full[WithRates ? 1 : 0];
    if (Text.empty())
      Text = encodeFrame(
          WithRates ? m_Content.m_FullWithRates() : m_Content.m_Full(), {});
    return Text;
  }

  const std::string &beat(const DueReport &Due) const {
    std::string &Text = m_Beats[(Due.m_Rows ? 1 : 0) + (Due.m_Age ? 2 : 0)];
    if (!Text.empty())
      return Text;
    LinkBeat Beat = m_Content.m_Beat;
    if (!Due.m_Rows)
      Beat.m_Rows.reset();
    if (!Due.m_Age)
      Beat.m_Age.reset();
    Text = encodeBeatFrame(Beat);
    return Text;
  }

private:
  const ReportContent &m_Content;
  mutable std::array<std::string, 2> m_Full;
  mutable std::array<std::string, 4> m_Beats;
};

} // namespace balsamwheel
