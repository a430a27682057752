#include "review/standin-3/Record.h"

#include "include/quetzal/clock/Now.h"

#include <iomanip>

namespace review {

Record::Record(const std::string& aFile)
  : file_(aFile)
  , startedAt_(quetzal::clock::Now())
{
}

double
Record::Seconds() const
{
  return std::chrono::duration<double>(quetzal::clock::Now() - startedAt_).count();
}

void
Record::Add(const std::string& aLine)
{
  file_ << std::fixed << std::setprecision(3) << Seconds() << ' ' << aLine << std::endl;
}

} // namespace review
