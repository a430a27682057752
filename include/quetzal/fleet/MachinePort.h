#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quetzal::fleet {

enum class MachineState : std::uint8_t
{
  kUp,
  kMoving,
  kMaintenance,
  kDown,
};

/** One host as the platform's list shows it. */
struct Machine
{
  std::string name_;
  std::string pool_;
  MachineState state_ = MachineState::kDown;
  std::string worker_; ///< The id of the worker that is its present life.
  std::string availabilityZone_;
  std::vector<std::string> labels_;
  std::int64_t cpu_ = 0;    ///< Thousandths of a core.
  std::int64_t memory_ = 0; ///< Megabytes.

  auto operator<=>(const Machine&) const = default;
};

struct MachineList
{
  bool complete_ = false;
  int reads_ = 0; ///< Calls that it took.
  std::vector<Machine> machines_;
};

enum class MachineOrderStatus : std::uint8_t
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
ToString(MachineOrderStatus aStatus);

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
  std::vector<std::string> machines_;
  double durationSeconds_ = 0;
  int mostAtOnce_ = 1;

  auto operator<=>(const WaveRequest&) const = default;
};

/** The platform's interface to hosts. Each callback comes once. */
class MachinePort
{
public:
  virtual ~MachinePort() = default;
  virtual void List(std::function<void(const MachineList&)> aDone) = 0;
  virtual void Move(const std::string& aMachine,
                    const std::string& aPool,
                    const OrderAuthority& aAuthority,
                    std::function<void(MachineOrderStatus)> aDone) = 0;
  virtual void Maintain(const std::string& aMachine,
                        std::int64_t aWave,
                        const OrderAuthority& aAuthority,
                        std::function<void(MachineOrderStatus)> aDone) = 0;
};

} // namespace quetzal::fleet
