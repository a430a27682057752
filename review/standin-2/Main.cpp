/** review-2 CASE FILE: plays a case of the second review, writes its record, and exits with 1 if
 * the rule was broken, 0 if it held, 2 if the case could not run. */

#include "include/quetzal/process/Application.h"
#include "review/standin-2/Cases.h"

#include <csignal>
#include <iostream>
#include <map>

int
main(int aCount, char** aArguments)
{
  using review::Outcome;
  const std::map<std::string, Outcome (*)(const std::string&)> cases{
    { "cancelled-jobs", review::PlayCancelledJobs },
    { "gang-checkpoint", review::PlayGangCheckpoint },
    { "unread-answers", review::PlayUnreadAnswers },
    { "late-order", review::PlayLateOrder },
    { "pending-count", review::PlayPendingCount },
    { "overdue-schedule", review::PlayOverdueSchedule },
    { "wide-jobs", review::PlayWideJobs },
  };
  std::signal(SIGPIPE, SIG_IGN);
  quetzal::process::Application application(aCount, aArguments);
  const std::string name = aCount == 3 ? aArguments[1] : "";
  const auto play = cases.find(name);
  if (play == cases.end()) {
    std::cerr << "usage: review-2 CASE FILE\n";
    return static_cast<int>(Outcome::kNotRun);
  }
  try {
    return static_cast<int>(play->second(aArguments[2]));
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(Outcome::kNotRun);
  }
}
