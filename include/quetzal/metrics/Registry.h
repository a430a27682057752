#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

/** Counters, gauges and histograms, exported in the Prometheus text format. */
namespace quetzal::metrics {

/** One label of a series. */
struct Label
{
  std::string name_;
  std::string value_;

  auto operator<=>(const Label&) const = default;
};

using Labels = std::vector<Label>;

/** The metrics of one process. */
class Registry
{
public:
  Registry();
  ~Registry();

  /** Adds to a counter. The first call for a series creates it. */
  void Add(const std::string& aName, const Labels& aLabels = {}, double aAmount = 1);

  void SetGauge(const std::string& aName, const Labels& aLabels, double aValue);

  /** Adds a duration to a histogram. The histogram is exported in seconds. */
  void Observe(const std::string& aName,
               const Labels& aLabels,
               std::chrono::duration<double> aDuration);

  /** Returns a counter's value, or 0 if the series does not exist. */
  double ValueOf(const std::string& aName, const Labels& aLabels = {}) const;

  /** Returns all series in the Prometheus text format, sorted by name. */
  std::string ToText() const;

private:
  struct Series;
  struct Family;

  std::map<std::string, Family> families_;
};

} // namespace quetzal::metrics
