#pragma once

#include "review/standin-2/Worker.h"

namespace review {

/** The users' platform on one loopback address: the store, the list of machines, the minions and
 * the operator's configuration of two queues, q-alpha and q-beta. */
class Platform
{
public:
  /** @param aNetwork the first three numbers of its loopback addresses, with a dot at the end.
   * @param aMinions of each service. */
  Platform(const std::string& aNetwork, int aMinions, Record& aRecord);

  const quetzal::settings::Endpoint& StoreAddress() const { return storeAddress_; }
  const quetzal::settings::Endpoint& MachinesAddress() const { return machinesAddress_; }
  Fleet& GetFleet() { return fleet_; }
  std::vector<std::unique_ptr<Worker>>& Workers() { return workers_; }

  /** Returns which part of a service's processor capacity is in use. */
  double UsedFractionOf(const std::string& aService) const;

  /** Returns whether any subtask of a job runs. */
  bool IsRunning(const std::string& aJob) const;

private:
  void PutConfiguration();
  quetzal::http::Response ListMachines() const;

  quetzal::settings::Endpoint storeAddress_;
  quetzal::settings::Endpoint machinesAddress_;
  quetzal::adapter::standin::Store store_;
  Fleet fleet_;
  quetzal::http::Server machinesServer_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

/** Returns a free port of a loopback address. */
std::uint16_t
FreePort(const std::string& aAddress);

} // namespace review
