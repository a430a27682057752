/** review-3: runs one case of the review against entry hosts of the deploy file. */

#include "include/quetzal/log/Log.h"
#include "include/quetzal/process/Application.h"
#include "review/standin-3/Cases.h"

#include <cstdlib>
#include <iostream>
#include <map>

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kArguments = 3;

bool
RunCase(const std::string& aName, review::Record& aRecord, bool aTrouble)
{
  using Case = bool (*)(review::Record&, bool);
  static const std::map<std::string, Case> kCases{
    { "order-after-end", review::RunOrderAfterEnd },
    { "order-of-predecessor", review::RunOrderOfPredecessor },
    { "lost-minion", review::RunLostMinion },
    { "one-way-cut", review::RunOneWayCut },
    { "other-kind", review::RunOtherKind },
  };
  if (const auto found = kCases.find(aName); found != kCases.end()) {
    return found->second(aRecord, aTrouble);
  }
  throw review::CannotRun("there is no case " + aName);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != kArguments) {
    std::cerr << "usage: review-3 CASE RECORD\n";
    return kCouldNotRun;
  }
  quetzal::process::Application application(aCount, aArguments);
  quetzal::log::Start("review-3", quetzal::log::Level::kWarning);
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  review::Record record(aArguments[2]);
  try {
    const bool isBroken = RunCase(aArguments[1], record, hasTrouble);
    record.Add(isBroken ? "the rule was broken" : "the rule held");
    return isBroken ? kBroken : kHeld;
  } catch (const std::exception& error) {
    record.Add(std::string("could not run: ") + error.what());
    return kCouldNotRun;
  }
}
