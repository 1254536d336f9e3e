#ifndef APPLEHALL_TESTS_NODE_TEST_RULES_H_
#define APPLEHALL_TESTS_NODE_TEST_RULES_H_

#include "core/json.h"
#include "rules/rule_checker.h"

namespace applehall {

// A rule set for tests: doors may not be repeated, "late-*" has a long
// deadline, the rest is ordinary.
inline Json TestRules(const std::string& name = "test", int max_replicas = 1) {
  return Json{{"name", name},
              {"author", "tests"},
              {"reason", "to be tested"},
              {"rules",
               {{{"name", "doors"},
                 {"when", {{"service", "doors"}}},
                 {"then", {{"repeatable", false}, {"deadline_ms", 3000}}}},
                {{"name", "late"},
                 {"when", {{"model", "late-*"}}},
                 {"then", {{"deadline_ms", 3600000}, {"worth", 2}}}},
                {{"name", "rest"},
                 {"then",
                  {{"deadline_ms", 30000},
                   {"most_replicas", max_replicas},
                   {"worth", 10}}}}}}};
}

// `count` models of 500 MB and one adapter for each of the first two.
inline Catalogue TestCatalogue(int count) {
  Catalogue catalogue;
  for (int i = 0; i < count; ++i) {
    catalogue.push_back({"model-" + std::to_string(i), "", 500'000'000});
  }
  catalogue.push_back({"adapter-0", "model-0", 40'000'000});
  catalogue.push_back({"adapter-1", "model-1", 40'000'000});
  catalogue.push_back({"late-0", "", 500'000'000});
  return catalogue;
}

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_TEST_RULES_H_
