// Lookup in a routing configuration, and its validation.
#include "balsamwheel/detail/routing/route_table.h"

#include <algorithm>
#include <tuple>

namespace balsamwheel {

RouteTable::RouteTable(ConfigVersion Version, std::vector<ServiceSpec> Services,
                       CallerLimits Limits, std::vector<Route> Routes,
                       OrganisationDirectory Organisations)
    : m_Version(Version), m_Limits(Limits),
      m_Organisations(std::move(Organisations)), m_Routes(std::move(Routes)) {
  for (ServiceSpec &Service : Services) {
    ServiceName Name = Service.m_Name;
    m_Services.emplace(std::move(Name), std::move(Service));
  }
  m_Index.reserve(m_Routes.size());
  for (std::size_t Index = 0; Index < m_Routes.size(); ++Index)
    m_Index.emplace(m_Routes[Index].m_Host + m_Routes[Index].m_Prefix, Index);
}

const Route *RouteTable::match(std::string_view Host,
                               std::string_view Path) const {
  Path = Path.substr(0, Path.find_first_of("?#"));
  std::string Name;
  Name.reserve(Host.size() + Path.size());
  Name.append(Host).append(Path);
  for (std::size_t End = Name.rfind('/');
       End != std::string::npos && End >= Host.size();
       End = End == 0 ? std::string::npos : Name.rfind('/', End - 1)) {
    Name.resize(End + 1);
    if (auto Found = m_Index.find(Name); Found != m_Index.end())
      return &m_Routes[Found->second];
  }
  return nullptr;
}

const ServiceSpec *RouteTable::service(const ServiceName &Name) const {
  auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

std::optional<std::string> RouteTable::problem() const {
  if (m_Version.value() == 0)
    return "the configuration has no version";
  if (m_Index.size() != m_Routes.size())
    return "two routes share a host and a prefix";
  if (m_Organisations.problem())
    return m_Organisations.problem();
  for (const Route &Each : m_Routes) {
    const std::string Context = "route " + Each.m_Name + ": ";
    if (Each.m_Host.empty())
      return Context + "no host";
    if (Each.m_Prefix.empty() || Each.m_Prefix.front() != '/' ||
        Each.m_Prefix.back() != '/')
      return Context + "the prefix must begin and end with a slash";
    if (Each.m_Timeout <= Duration::zero())
      return Context + "no timeout";
    if (Each.m_MaxAttempts == 0)
      return Context + "no attempts";
    if (Each.m_Shares.empty())
      return Context + "no service";
    for (const RouteShare &Share : Each.m_Shares) {
      if (Share.m_Weight == 0)
        return Context + "a share without weight";
      if (!service(Share.m_Service))
        return Context + "unknown service " + Share.m_Service.value();
    }
  }
  return std::nullopt;
}

std::set<std::string> keptRoutes(const RouteTable &Previous,
                                 const RouteTable &Next) {
  const auto Identity = [](const Route &Each) {
    return std::tie(Each.m_Name, Each.m_Host, Each.m_Prefix, Each.m_Kind);
  };
  std::set<std::string> Result;
  for (const Route &Each : Next.routes())
    if (std::any_of(Previous.routes().begin(), Previous.routes().end(),
                    [&](const Route &Known) {
                      return Identity(Known) == Identity(Each);
                    }))
      Result.insert(Each.m_Name);
  return Result;
}

const ServiceName &chooseShare(const Route &Chosen, std::uint64_t Random) {
  std::uint64_t Total = 0;
  for (const RouteShare &Share : Chosen.m_Shares)
    Total += Share.m_Weight;
  // A valid route has positive weights; see RouteTable::problem().
  std::uint64_t Point = Total > 0 ? Random % Total : 0;
  for (const RouteShare &Share : Chosen.m_Shares) {
    if (Point < Share.m_Weight)
      return Share.m_Service;
    Point -= Share.m_Weight;
  }
  return Chosen.m_Shares.back().m_Service;
}

} // namespace balsamwheel
