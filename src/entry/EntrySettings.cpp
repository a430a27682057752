#include "include/quetzal/entry/EntrySettings.h"

#include "include/quetzal/process/StopSchedule.h"

#include <algorithm>

namespace quetzal::entry {
namespace {

using namespace std::chrono_literals;
using settings::Node;

constexpr std::int64_t kMinHeaderBytes = 1024;
constexpr std::int64_t kMaxHeaderBytes = 64 * 1024;
constexpr std::int64_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::int64_t kMaxCallers = 50'000;
constexpr int kDefaultCallers = 4'000;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1'024 * 1'024;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'048'576;
constexpr std::int64_t kMinStopSeconds = 2;
constexpr std::int64_t kMaxStopSeconds = 3'600;
constexpr std::int64_t kDefaultStopSeconds = 30;
constexpr std::int64_t kMinRetentionSeconds = 60;
constexpr std::int64_t kMaxRetentionSeconds = 24 * 3'600;
constexpr std::int64_t kDefaultRetentionSeconds = 3'600;

EntryHost
ReadEntryHost(const Node& aNode)
{
  aNode.AllowKeys({ "name", "availability_zone", "peer" });
  return { aNode.Name("name"), aNode.Name("availability_zone"), aNode.Required("peer").Address() };
}

void
ReadLimits(const Node& aRoot, EntrySettings& aSettings)
{
  const auto node = aRoot.Optional("limits");
  aSettings.maxCallers_ = kDefaultCallers;
  if (!node) {
    return;
  }
  node->AllowKeys({ "header_bytes", "body_bytes", "request_time_ms", "idle_time_ms", "callers" });
  http::ServerLimits& limits = aSettings.limits_;
  limits.message_.headerBytes_ = static_cast<std::uint32_t>(
    node->Integer("header_bytes", kMinHeaderBytes, kMaxHeaderBytes, limits.message_.headerBytes_));
  limits.message_.bodyBytes_ = static_cast<std::uint64_t>(node->Integer(
    "body_bytes", 0, kMaxBodyBytes, static_cast<std::int64_t>(limits.message_.bodyBytes_)));
  limits.requestTimeout_ =
    node->Milliseconds("request_time_ms", 100ms, 10min, limits.requestTimeout_);
  limits.idleTimeout_ = node->Milliseconds("idle_time_ms", 100ms, 1h, limits.idleTimeout_);
  aSettings.maxCallers_ =
    static_cast<int>(node->Integer("callers", 1, kMaxCallers, kDefaultCallers));
}

void
ReadStopTimes(const Node& aRoot, EntrySettings& aSettings)
{
  aSettings.stopNotice_ = aRoot.Milliseconds("stop_notice_ms", 0ms, 5min, 2s);
  aSettings.stopTime_ = std::chrono::seconds(
    aRoot.Integer("stop_time_s", kMinStopSeconds, kMaxStopSeconds, kDefaultStopSeconds));
  const auto schedule = process::MakeStopSchedule(aSettings.stopTime_, aSettings.stopNotice_);
  if (schedule.minServingTime_ >= schedule.lastAnswer_) {
    const auto notice = aRoot.Optional("stop_notice_ms");
    const Node& wrong = notice ? *notice : aRoot.Required("stop_time_s");
    const clock::Milliseconds margin = aSettings.stopTime_ - schedule.lastAnswer_;
    throw wrong.Error("stop_time_s more than " + std::to_string(margin.count()) +
                      " ms above stop_notice_ms");
  }
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

EntrySettings
MakeEntrySettings(const std::string& aFile)
{
  const Node root = Node::MakeFromFile(aFile);
  root.AllowKeys({ "name",
                   "availability_zone",
                   "environment",
                   "callers",
                   "operators",
                   "platform",
                   "entry_hosts",
                   "limits",
                   "stop_notice_ms",
                   "stop_time_s",
                   "host_list_interval_ms",
                   "claim_retention_s",
                   "memory_mb",
                   "max_descriptors" });
  EntrySettings settings;
  settings.name_ = root.Name("name");
  settings.availabilityZone_ = root.Name("availability_zone");
  settings.environment_ = root.Name("environment");
  settings.callers_ = root.Required("callers").Address();
  settings.operators_ = root.Required("operators").Address();
  settings.platform_ = root.Required("platform").Address();
  for (const Node& item : root.Items("entry_hosts")) {
    settings.entryHosts_.push_back(ReadEntryHost(item));
  }
  const auto isSelf = [&settings](const EntryHost& aHost) { return aHost.name_ == settings.name_; };
  if (std::count_if(settings.entryHosts_.begin(), settings.entryHosts_.end(), isSelf) != 1) {
    throw root.Required("entry_hosts").Error("exactly one item with the name " + settings.name_);
  }
  ReadLimits(root, settings);
  ReadStopTimes(root, settings);
  settings.hostListInterval_ = root.Milliseconds("host_list_interval_ms", 50ms, 1min, 1s);
  settings.claimRetention_ = std::chrono::seconds(root.Integer(
    "claim_retention_s", kMinRetentionSeconds, kMaxRetentionSeconds, kDefaultRetentionSeconds));
  settings.hostLimits_ = ReadHostLimits(root);
  return settings;
}

const EntryHost&
SelfOf(const EntrySettings& aSettings)
{
  return *std::find_if(aSettings.entryHosts_.begin(),
                       aSettings.entryHosts_.end(),
                       [&aSettings](const auto& aHost) { return aHost.name_ == aSettings.name_; });
}

} // namespace quetzal::entry
