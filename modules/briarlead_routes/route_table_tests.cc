#include "briarlead_routes/route_table.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{ServiceId("desk"), 1}};
  return route;
}

RouteList MakeList() {
  RouteList list;
  list.version = 3;
  list.services = {{ServiceId("desk"), "/health", 10, std::nullopt}};
  list.routes = {MakeRoute("short", "a.example", "/x/"),
                 MakeRoute("long", "a.example", "/x/y/"),
                 MakeRoute("other", "b.example", "/")};
  return list;
}

}  // namespace

TEST_GROUP(RouteTable) {
  RouteTable table_{MakeList()};

  std::string NameOf(std::string_view host, std::string_view path) {
    const Route* route = table_.Match(host, path);
    return route == nullptr ? "" : route->name;
  }
};

TEST(RouteTable, LongestPrefixOfTheHostWins) {
  CHECK(NameOf("a.example", "/x/y/z") == "long");
  CHECK(NameOf("a.example", "/x/y") == "short");
  CHECK(NameOf("a.example", "/x/yy/z") == "short");
  CHECK(NameOf("b.example", "/x/y/z") == "other");
}

TEST(RouteTable, NoRouteForOtherHostsAndPaths) {
  CHECK(NameOf("a.example", "/").empty());
  CHECK(NameOf("a.example", "/x").empty());
  CHECK(NameOf("c.example", "/x/").empty());
  CHECK(NameOf("a.example", "x").empty());
}

TEST(RouteTable, CaseAndPortOfTheHostAreIgnored) {
  CHECK(NameOf("A.Example:8080", "/x/") == "short");
}

TEST(RouteTable, ServicesArePickedByWeight) {
  Route route = MakeRoute("split", "a.example", "/s/");
  route.services = {
      {ServiceId("none"), 0}, {ServiceId("nine"), 9}, {ServiceId("one"), 1}};
  CHECK(PickService(route, 0.0) == ServiceId("nine"));
  CHECK(PickService(route, 0.89) == ServiceId("nine"));
  CHECK(PickService(route, 0.91) == ServiceId("one"));
}

TEST_GROUP(CheckRouteList) {
  RouteList list_ = MakeList();
  Findings findings_;
};

TEST(CheckRouteList, ValidListHasNoFindings) {
  CheckRouteList(list_, findings_);
  CHECK(findings_.empty());
}

TEST(CheckRouteList, EveryErrorIsFound) {
  list_.routes[0].services = {{ServiceId("unknown"), 1}};
  list_.routes[1].services = {{ServiceId("desk"), 0}};
  list_.routes[2].timeout = Duration::zero();
  list_.routes.push_back(list_.routes[0]);
  CheckRouteList(list_, findings_);
  // The copy has the host, prefix and unknown service of the first route.
  CHECK_EQUAL(5U, findings_.items().size());
}

}  // namespace briarlead
