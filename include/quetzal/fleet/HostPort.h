#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quetzal::fleet {

enum class HostState : std::uint8_t
{
  kUp,
  kMoving,
  kMaintenance,
  kDown,
};

/** One host as the platform's list shows it. */
struct Host
{
  std::string name_;
  std::string pool_;
  HostState state_ = HostState::kDown;
  std::string worker_; ///< The id of the worker that is its present life.
  std::string availabilityZone_;
  std::vector<std::string> labels_;
  std::int64_t milliCores_ = 0; ///< Thousandths of a core.
  std::int64_t memoryMb_ = 0;   ///< Megabytes.

  auto operator<=>(const Host&) const = default;
};

struct HostList
{
  bool complete_ = false;
  int requests_ = 0; ///< Calls that it took.
  std::vector<Host> hosts_;
};

enum class HostOrderStatus : std::uint8_t
{
  kAccepted,
  kFenced,
  kBusy,
  kNotOfWave,
  kInvalid,
  kRefused,  ///< Too many calls, or the platform is away; nothing was done.
  kNoAnswer, ///< It may have been carried out.
};

const char*
ToString(HostOrderStatus aStatus);

/** Whose order it is. */
struct OrderAuthority
{
  std::string holder_;
  std::int64_t fence_ = 0;
};

/** A maintenance wave that the operators ask for. */
struct WaveRequest
{
  std::int64_t number_ = 0;
  std::vector<std::string> hosts_;
  double durationSeconds_ = 0;
  int maxConcurrent_ = 1;

  auto operator<=>(const WaveRequest&) const = default;
};

/** The platform's interface to hosts. Each callback comes once. */
class HostPort
{
public:
  virtual ~HostPort() = default;
  virtual void List(std::function<void(const HostList&)> aDone) = 0;
  virtual void Move(const std::string& aHost,
                    const std::string& aPool,
                    const OrderAuthority& aAuthority,
                    std::function<void(HostOrderStatus)> aDone) = 0;
  virtual void Maintain(const std::string& aHost,
                        std::int64_t aWave,
                        const OrderAuthority& aAuthority,
                        std::function<void(HostOrderStatus)> aDone) = 0;
};

} // namespace quetzal::fleet
