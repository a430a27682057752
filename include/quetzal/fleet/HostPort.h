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

/** A host as listed by the platform. */
struct Host
{
  std::string name_;
  std::string pool_;
  HostState state_ = HostState::kDown;
  std::string worker_; ///< The id of the host's current worker.
  std::string availabilityZone_;
  std::vector<std::string> labels_;
  std::int64_t milliCores_ = 0;
  std::int64_t memoryMb_ = 0;

  auto operator<=>(const Host&) const = default;
};

struct HostList
{
  bool complete_ = false;
  int requests_ = 0; ///< Requests to the platform that were needed to read the list.
  std::vector<Host> hosts_;
};

enum class HostOrderStatus : std::uint8_t
{
  kAccepted,
  kFenced,
  kBusy,
  kNotOfWave,
  kInvalid,
  kRefused,  ///< Rate limit reached or platform unreachable; nothing was done.
  kNoAnswer, ///< The order may have been carried out.
};

const char*
ToString(HostOrderStatus aStatus);

/** The holder and fence under which an order is given. */
struct OrderAuthority
{
  std::string holder_;
  std::int64_t fence_ = 0;
};

/** A maintenance wave requested by the operators. */
struct WaveRequest
{
  std::int64_t number_ = 0;
  std::vector<std::string> hosts_;
  double durationSeconds_ = 0;
  int maxConcurrent_ = 1;

  auto operator<=>(const WaveRequest&) const = default;
};

/** The platform's interface to hosts. Each callback is called once. */
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
