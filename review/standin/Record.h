#pragma once

#include "review/standin/Http.h"

#include <fstream>
#include <mutex>
#include <sstream>

namespace review {

/** What was sent, answered and run: a line for each, with the seconds since the start. */
class Record
{
public:
  explicit Record(const std::string& aFile)
    : out_(aFile)
    , startedAt_(Clock::now())
  {
  }

  template<typename... Parts>
  void Add(const Parts&... aParts)
  {
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> elapsed = Clock::now() - startedAt_;
    out_ << std::fixed << elapsed.count() << ' ';
    (out_ << ... << aParts) << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream out_;
  Moment startedAt_;
};

} // namespace review
