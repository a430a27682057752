#include "include/quetzal/metrics/Registry.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace quetzal::metrics {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBucketCount = 24;
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 100;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto
MakeHistogram()
{
  return bh::make_histogram(LogAxis(kBucketCount, kMinSeconds, kMaxSeconds));
}

using Histogram = decltype(MakeHistogram());

std::string
LabelText(const Labels& aLabels, const std::string& aExtraLabel = {})
{
  std::string text;
  for (const Label& label : aLabels) {
    text += (text.empty() ? "" : ",") + label.name_ + "=\"" + label.value_ + "\"";
  }
  if (!aExtraLabel.empty()) {
    text += (text.empty() ? "" : ",") + aExtraLabel;
  }
  return text.empty() ? text : "{" + text + "}";
}

void
WriteHistogram(std::ostream& aStream,
               const std::string& aName,
               const Labels& aLabels,
               const Histogram& aHistogram,
               double aSum)
{
  // Bin -1 counts the values below kMinSeconds, and bin kBucketCount those above kMaxSeconds.
  double total = aHistogram.at(-1);
  for (const auto& bin : bh::indexed(aHistogram)) {
    total += *bin;
    std::ostringstream bound;
    bound << "le=\"" << bin.bin().upper() << '"';
    aStream << aName << "_bucket" << LabelText(aLabels, bound.str()) << ' ' << total << '\n';
  }
  total += aHistogram.at(static_cast<int>(kBucketCount));
  aStream << aName << "_bucket" << LabelText(aLabels, "le=\"+Inf\"") << ' ' << total << '\n';
  aStream << aName << "_sum" << LabelText(aLabels) << ' ' << aSum << '\n';
  aStream << aName << "_count" << LabelText(aLabels) << ' ' << total << '\n';
}

} // namespace

struct Registry::Series
{
  double value_ = 0;
  std::unique_ptr<Histogram> histogram_;
};

struct Registry::Family
{
  const char* type_ = "counter";
  std::map<Labels, Series> series_;
};

Registry::Registry() = default;
Registry::~Registry() = default;

void
Registry::Add(const std::string& aName, const Labels& aLabels, double aAmount)
{
  families_[aName].series_[aLabels].value_ += aAmount;
}

void
Registry::SetGauge(const std::string& aName, const Labels& aLabels, double aValue)
{
  Family& family = families_[aName];
  family.type_ = "gauge";
  family.series_[aLabels].value_ = aValue;
}

void
Registry::Observe(const std::string& aName,
                  const Labels& aLabels,
                  std::chrono::duration<double> aDuration)
{
  Family& family = families_[aName];
  family.type_ = "histogram";
  Series& series = family.series_[aLabels];
  if (!series.histogram_) {
    series.histogram_ = std::make_unique<Histogram>(MakeHistogram());
  }
  (*series.histogram_)(aDuration.count());
  series.value_ += aDuration.count();
}

double
Registry::ValueOf(const std::string& aName, const Labels& aLabels) const
{
  const auto family = families_.find(aName);
  if (family == families_.end()) {
    return 0;
  }
  const auto series = family->second.series_.find(aLabels);
  return series == family->second.series_.end() ? 0 : series->second.value_;
}

std::string
Registry::ToText() const
{
  std::ostringstream text;
  text.precision(15);
  for (const auto& [name, family] : families_) {
    text << "# TYPE " << name << ' ' << family.type_ << '\n';
    for (const auto& [labels, series] : family.series_) {
      if (series.histogram_) {
        WriteHistogram(text, name, labels, *series.histogram_, series.value_);
      } else {
        text << name << LabelText(labels) << ' ' << series.value_ << '\n';
      }
    }
  }
  return text.str();
}

} // namespace quetzal::metrics
