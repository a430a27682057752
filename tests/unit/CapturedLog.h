#pragma once

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace quetzal::test {

/** The records that are logged while it exists. */
class CapturedLog
{
public:
  CapturedLog()
  {
    sink_->locked_backend()->add_stream(text_);
    boost::log::core::get()->add_sink(sink_);
  }
  ~CapturedLog() { boost::log::core::get()->remove_sink(sink_); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /** Returns the records of an event, oldest first. */
  std::vector<std::string> Of(const std::string& aEvent) const
  {
    sink_->flush();
    std::vector<std::string> records;
    std::istringstream lines(text_->str());
    std::string line;
    while (std::getline(lines, line)) {
      if (line.find("event=" + aEvent + " ") != std::string::npos) {
        records.push_back(line);
      }
    }
    return records;
  }

private:
  using Sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

  boost::shared_ptr<std::ostringstream> text_ = boost::make_shared<std::ostringstream>();
  boost::shared_ptr<Sink> sink_ = boost::make_shared<Sink>();
};

} // namespace quetzal::test
