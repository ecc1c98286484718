// Servers and request mixes of the deployments "valpadana" and "etna-verde".
#include "bench/core/deployment.h"

#include <array>

namespace balsamwheel::bench {

namespace {

using std::chrono::seconds;

constexpr std::array DomainSuffixes{"-a", "-b", "-c"};

void addServers(Deployment &Result, const std::string &Service, int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    const std::size_t Domain = Result.m_Servers.size() % DomainSuffixes.size();
    Result.m_Servers.push_back(
        {.m_Instance = Service + "-" + std::to_string(Index + 1),
         .m_Service = Service,
         .m_Domain = Result.m_DomainPrefix + DomainSuffixes.at(Domain)});
  }
}

LoadStream keyedRead(const std::string &Service, const std::string &Class,
                     const std::string &Path, double Rate) {
  LoadStream Stream;
  Stream.m_Name = Service + "/" + Class;
  Stream.m_Service = Service;
  Stream.m_Class = Class;
  Stream.m_Path = Path;
  Stream.m_Rate = Rate;
  return Stream;
}

LoadStream lookup(const std::string &Service, const std::string &Class,
                  double Rate) {
  LoadStream Stream =
      keyedRead(Service, Class, "/" + Service + "/internal", Rate);
  Stream.m_Deadline = std::chrono::milliseconds(500);
  return Stream;
}

LoadStream keyedWrite(const std::string &Service, const std::string &Class,
                      const std::string &Path, double Rate) {
  LoadStream Stream = keyedRead(Service, Class, Path, Rate);
  Stream.m_Method = "POST";
  Stream.m_Idempotent = false;
  Stream.m_BodySize = 300;
  return Stream;
}

LoadStream download(const std::string &Service, const std::string &Class,
                    double Rate) {
  LoadStream Stream = keyedRead(Service, Class, "/" + Service, Rate);
  Stream.m_Keyed = false;
  Stream.m_Deadline = seconds(5);
  return Stream;
}

LoadStream unkeyedLookup(const std::string &Service, const std::string &Class,
                         double Rate) {
  LoadStream Stream = lookup(Service, Class, Rate);
  Stream.m_Keyed = false;
  return Stream;
}

Deployment makeValpadana() {
  Deployment Result;
  Result.m_Name = "valpadana";
  Result.m_DomainPrefix = "valpadana";
  Result.m_Region = "po-valley";
  addServers(Result, "timetables", 6);
  addServers(Result, "announcements", 5);
  addServers(Result, "calendars", 3);
  Result.m_Streams = {
      keyedRead("timetables", "read", "/timetables", 200),
      lookup("timetables", "lookup", 60),
      keyedRead("announcements", "read", "/announcements", 40),
      keyedWrite("announcements", "register", "/announcements", 40),
      download("calendars", "download", 15),
      unkeyedLookup("calendars", "lookup", 15),
  };
  return Result;
}

Deployment makeEtnaVerde() {
  Deployment Result;
  Result.m_Name = "etna-verde";
  Result.m_DomainPrefix = "etna";
  Result.m_Region = "sicily";
  addServers(Result, "availability", 6);
  addServers(Result, "orders", 5);
  addServers(Result, "documents", 3);
  Result.m_Streams = {
      keyedRead("availability", "check", "/availability", 200),
      lookup("availability", "reservation", 60),
      lookup("orders", "lookup", 40),
      keyedWrite("orders", "place", "/orders", 40),
      download("documents", "download", 15),
      unkeyedLookup("documents", "certificate", 15),
  };
  return Result;
}

} // namespace

std::optional<Deployment> findDeployment(const std::string &Name) {
  if (Name == "valpadana")
    return makeValpadana();
  if (Name == "etna-verde")
    return makeEtnaVerde();
  return std::nullopt;
}

} // namespace balsamwheel::bench
