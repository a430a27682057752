#pragma once

#include "include/quetzal/clock/Time.h"

#include <fstream>
#include <string>

namespace review {

/** What was sent, answered and run, a line each with the seconds since the start. */
class Record
{
public:
  explicit Record(const std::string& aFile);

  void Add(const std::string& aLine);
  double Seconds() const;

private:
  std::ofstream file_;
  quetzal::clock::Moment startedAt_;
};

} // namespace review
