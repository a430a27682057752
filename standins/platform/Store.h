#pragma once

#include <QtCore/QJsonObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

/** Stand-in for the platform: etcd v3's HTTP/JSON gateway and a host list, in memory. */
namespace standins::platform {

/** The value, revisions and lease of one key. */
struct Entry
{
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;
  std::int64_t lease_ = 0;
};

/** Keys, revisions and leases. */
class Store
{
public:
  using Moment = std::chrono::steady_clock::time_point;
  using ChangeCallback = std::function<void(const std::string& aKey, const QJsonObject& aEvent)>;

  void OnChange(ChangeCallback aCallback) { onChange_ = std::move(aCallback); }

  QJsonObject Range(const QJsonObject& aBody) const;
  QJsonObject Transact(const QJsonObject& aBody);
  QJsonObject GrantLease(const QJsonObject& aBody, Moment aNow);
  QJsonObject KeepAlive(const QJsonObject& aBody, Moment aNow);
  QJsonObject RevokeLease(const QJsonObject& aBody);

  /** Ends every lease whose term has expired. */
  void ExpireLeases(Moment aNow);

private:
  struct Lease
  {
    std::chrono::seconds term_{ 0 };
    Moment end_{};
  };

  QJsonObject Header() const;
  bool Holds(const QJsonObject& aCompare) const;
  QJsonObject Apply(const QJsonObject& aOperation, bool& aWrote);
  void Put(const QJsonObject& aBody);
  void Delete(const std::string& aKey);
  void EndLease(std::int64_t aLease);
  void Announce(const std::string& aKey, const Entry& aEntry, bool aDeleted);

  std::map<std::string, Entry> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 1;
  std::int64_t lastLease_ = 1000;
  ChangeCallback onChange_;
};

} // namespace standins::platform
