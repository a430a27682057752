#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/** The operators' configuration document: hosts, pools and what each service promises. */
namespace quetzal::document {

/** One host. It belongs to at most one pool. */
struct Host
{
  std::string name_;
  std::string address_; ///< IP address.
  std::string availabilityZone_;
  std::string rack_;

  auto operator<=>(const Host&) const = default;
};

/** A set of hosts that serve the same services. */
struct Pool
{
  std::string name_;
  std::vector<std::string> hosts_;
  bool spare_ = false;

  auto operator<=>(const Pool&) const = default;
};

/** How urgent a request is. Quick requests precede long ones in a queue. */
enum class WorkClass : std::uint8_t
{
  kQuick,
  kLong,
};

/** How to handle the requests whose path begins with a prefix. */
struct Route
{
  std::string prefix_;
  WorkClass class_ = WorkClass::kQuick;
  bool idempotent_ = false;
  std::chrono::milliseconds deadline_{ 0 };

  auto operator<=>(const Route&) const = default;
};

/** What a service requires of its pool and promises its callers. */
struct Service
{
  std::string name_;
  std::string pool_;
  std::uint16_t port_ = 0;
  std::string healthPath_;
  int slots_ = 0;       ///< Requests that one backend server runs at once.
  int connections_ = 0; ///< Connections that one backend server accepts from all entry hosts.
  int minHealthy_ = 0;  ///< Backend servers that must be healthy at all times.
  std::chrono::milliseconds deadline_{ 0 };
  std::chrono::milliseconds longestDeadline_{ 0 };
  int queueLength_ = 0; ///< Requests that one entry host holds in its queue.
  std::int64_t answerBytes_ = 0;
  int retryPercent_ = 0; ///< Retries per hundred requests.
  std::vector<int> notRunStatuses_;
  std::vector<Route> routes_; ///< The route with the longest matching prefix applies.

  auto operator<=>(const Service&) const = default;
};

/** The measure that planning should optimize first. */
enum class OptimizationGoal : std::uint8_t
{
  kBufferCost,
  kRollOutTime,
};

/** The configuration of one environment. Immutable once built. */
struct Document
{
  std::string environment_;
  OptimizationGoal goal_ = OptimizationGoal::kBufferCost;
  std::vector<Host> hosts_;
  std::vector<Pool> pools_;
  std::vector<Service> services_;

  auto operator<=>(const Document&) const = default;
};

using DocumentPtr = std::shared_ptr<const Document>;

/** Builds a document from YAML and validates it, including references between its entries.
 * @param aFile the file name used in errors.
 * @throws settings::SettingsError naming file, line, key and what is expected. */
DocumentPtr
MakeDocument(const std::string& aYaml, const std::string& aFile);

} // namespace quetzal::document
