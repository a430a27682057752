#include "include/quetzal/node/NodeSettings.h"

#include <algorithm>
#include <cmath>

namespace quetzal::node {
namespace {

using namespace std::chrono_literals;
using settings::Node;

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxRetentionSeconds = 24 * 3'600;
constexpr double kMaxRatePerSecond = 1e6;
constexpr double kMaxProcessors = 1'024;
constexpr double kMaxFarFactor = 100;
constexpr double kMaxSeconds = 3'600;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1'024 * 1'024;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'048'576;
/** Lease time of tasks, unless the platform's limit is shorter. */
constexpr clock::Milliseconds kWantedLease{ 5'000 };
/** Margin below the platform's longest lease; the platform shortens leases that exceed its limit.
 */
constexpr clock::Milliseconds kLeaseMargin{ 300 };
/** Ended jobs are kept longer than the configured time by this factor. */
constexpr double kRetentionFactor = 1.25;

clock::Milliseconds
Seconds(const Node& aNode, const std::string& aKey)
{
  const double seconds = aNode.Required(aKey).Number(0, kMaxSeconds);
  return clock::Milliseconds(std::llround(seconds * 1'000));
}

clock::Milliseconds
Milliseconds(const Node& aNode, const std::string& aKey)
{
  const double value = aNode.Required(aKey).Number(0, kMaxSeconds * 1'000);
  return clock::Milliseconds(std::llround(value));
}

http::HostLimits
ReadHostLimits(const Node& aRoot)
{
  http::HostLimits limits;
  if (const auto memory = aRoot.Optional("memory_mb")) {
    limits.memoryMb_ = memory->Integer(kMinMemoryMb, kMaxMemoryMb);
  }
  if (const auto descriptors = aRoot.Optional("max_descriptors")) {
    limits.descriptors_ = descriptors->Integer(kMinDescriptors, kMaxDescriptors);
  }
  return limits;
}

} // namespace

NodeSettings
MakeNodeSettings(const std::string& aFile)
{
  const Node root = Node::MakeFromFile(aFile);
  root.AllowKeys({ "name",
                   "address",
                   "availability_zone",
                   "first_port",
                   "callers",
                   "ready",
                   "metrics_port",
                   "store",
                   "machines",
                   "advice",
                   "stop_time_s",
                   "longest_lease_ms",
                   "fleet_order_gap_ms",
                   "retention_s",
                   "move_s",
                   "maintenance_s",
                   "processor_share",
                   "memory_mb",
                   "max_descriptors",
                   "far_factor" });
  NodeSettings settings;
  settings.name_ = root.Name("name");
  settings.address_ = root.Name("address");
  settings.availabilityZone_ = root.Name("availability_zone");
  const auto port = root.Required("first_port").Integer(1, kMaxPort);
  settings.peers_ = { settings.address_, static_cast<std::uint16_t>(port) };
  settings.callers_ = root.Required("callers").Address();
  settings.ready_ = root.Required("ready").Address();
  const auto metricsPort = root.Required("metrics_port").Integer(1, kMaxPort);
  settings.metrics_ = { settings.address_, static_cast<std::uint16_t>(metricsPort) };
  const Node store = root.Required("store");
  store.AllowKeys({ "address" });
  settings.store_ = store.Required("address").Address();
  const Node hosts = root.Required("machines");
  hosts.AllowKeys({ "address", "orders_per_second", "reads_per_second" });
  settings.hosts_ = hosts.Required("address").Address();
  settings.hostOrdersPerSecond_ = hosts.Required("orders_per_second").Number(0, kMaxRatePerSecond);
  settings.hostReadsPerSecond_ = hosts.Required("reads_per_second").Number(0, kMaxRatePerSecond);
  if (const auto advice = root.Optional("advice")) {
    settings.advice_ = advice->Address();
  }
  settings.stopTime_ = Seconds(root, "stop_time_s");
  settings.fleetOrderGap_ = Milliseconds(root, "fleet_order_gap_ms");
  const double retention = root.Required("retention_s").Number(0, kMaxRetentionSeconds);
  settings.retention_ = clock::Milliseconds(std::llround(retention * kRetentionFactor * 1'000));
  settings.processorShare_ = root.Required("processor_share").Number(0.01, kMaxProcessors);
  if (const auto farFactor = root.Optional("far_factor")) {
    settings.farFactor_ = farFactor->Number(1, kMaxFarFactor);
  }
  settings.moveTime_ = Seconds(root, "move_s");
  settings.maintenanceTime_ = Seconds(root, "maintenance_s");
  const clock::Milliseconds longest = Milliseconds(root, "longest_lease_ms");
  settings.leaseTimes_.longest_ = longest;
  settings.leaseTimes_.lease_ = std::max(std::min(kWantedLease, longest - kLeaseMargin), 1'000ms);
  settings.hostLimits_ = ReadHostLimits(root);
  return settings;
}

} // namespace quetzal::node
