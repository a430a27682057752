#pragma once

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>

/** The second review: stand-ins for the users' platform and its callers, and the cases' scripts. */
namespace review {

/** The file in which a case writes what was sent, answered and run, with the time since its
 * start. */
class Record
{
public:
  explicit Record(const std::string& aFile)
    : out_(aFile)
    , startedAt_(std::chrono::steady_clock::now())
  {
  }

  template<typename... Parts>
  void Write(const Parts&... aParts)
  {
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - startedAt_);
    std::ostringstream line;
    (line << ... << aParts);
    out_ << passed.count() << " ms " << line.str() << std::endl;
  }

private:
  std::ofstream out_;
  std::chrono::steady_clock::time_point startedAt_;
};

} // namespace review
