// Tests of the organisation directory: lookup by key and rejected entries.
#include "balsamwheel/detail/routing/organisation_directory.h"

#include <doctest/doctest.h>

#include <limits>

using namespace balsamwheel;

namespace {

Organisation organisation(const std::string &Name,
                          std::vector<std::string> Keys) {
  return {.m_Name = OrganisationName(Name),
          .m_ApiKeys = std::move(Keys),
          .m_Quota = Quota{.m_Rate = 5, .m_Burst = 2}};
}

std::string problemOf(const std::vector<Organisation> &All) {
  return OrganisationDirectory(All).problem().value_or("");
}

} // namespace

TEST_CASE("each key of an organisation finds it, any other text finds none") {
  const OrganisationDirectory Directory(
      {organisation("a", {"k1", "k2"}), organisation("b", {"k3"})});
  CHECK_FALSE(Directory.problem().has_value());
  CHECK(Directory.findByKey("k1")->m_Name.value() == "a");
  CHECK(Directory.findByKey("k2")->m_Name.value() == "a");
  CHECK(Directory.findByKey("k3")->m_Name.value() == "b");
  for (const char *Unknown : {"", "k", "k11", "K1", "k1 ", "a"})
    CHECK(Directory.findByKey(Unknown) == nullptr);
}

TEST_CASE("an organisation without a key or a quota is valid") {
  const OrganisationDirectory Directory({{.m_Name = OrganisationName("a")}});
  CHECK_FALSE(Directory.problem().has_value());
  CHECK_FALSE(Directory.find(OrganisationName("a"))->m_Quota.has_value());
}

TEST_CASE("ambiguous or absurd organisations are rejected, and no key is "
          "named") {
  CHECK(problemOf({organisation("", {"secret"})}) == "organisation : no name");
  CHECK(problemOf({organisation("a", {"secret", ""})}) ==
        "organisation a: an empty key");
  CHECK(problemOf({organisation("a", {"k"}), organisation("a", {"l"})}) ==
        "organisation a: listed twice");
  CHECK(problemOf(
            {organisation("a", {"secret"}), organisation("b", {"secret"})}) ==
        "organisation b: shares a key with organisation a");
  for (const Quota &Wrong :
       {Quota{.m_Rate = -1}, Quota{.m_Rate = 1, .m_Burst = -1},
        Quota{.m_Rate = std::numeric_limits<double>::infinity()},
        Quota{.m_Rate = std::numeric_limits<double>::quiet_NaN()}}) {
    Organisation Each = organisation("a", {"secret"});
    Each.m_Quota = Wrong;
    const std::string Problem = problemOf({Each});
    CHECK_FALSE(Problem.empty());
    CHECK(Problem.find("secret") == std::string::npos);
  }
}
