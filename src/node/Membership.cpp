#include "include/quetzal/node/Membership.h"

#include "include/quetzal/clock/Now.h"
#include "include/quetzal/log/Log.h"

#include <QtCore/QPointer>
#include <QtCore/QUuid>
#include <algorithm>
#include <ctime>

namespace quetzal::node {
namespace {

constexpr clock::Milliseconds kLeaseTerm{ 3'000 };
constexpr clock::Milliseconds kRenewInterval{ 700 };
constexpr clock::Milliseconds kRetryDelay{ 150 };
constexpr clock::Milliseconds kWatchWait{ 1'500 };
constexpr clock::Milliseconds kStoreTimeout{ 2'500 };
/** Shortest time between two writes of the widths of cells: each wakes every host's watch. */
constexpr clock::Milliseconds kPublishInterval{ 5'000 };
/** Safety margin before the lease's end. The end is calculated from a time taken before the renewal
 * was sent. */
constexpr std::int64_t kLeaseMarginMs = 150;

const std::string kLivePrefix = "quetzal/live/";
const std::string kHostPrefix = "quetzal/live/host/";
const std::string kCellPrefix = "quetzal/live/cell/";

/** Returns the milliseconds of a clock that keeps running while this host is suspended. */
std::int64_t
SuspendAwareMs()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000;
}

} // namespace

std::string
CellKey(const std::string& aCell)
{
  return kCellPrefix + aCell;
}

Membership::Membership(store::SharedStore& aStore,
                       std::string aName,
                       jobs::HostRecord aSelf,
                       QObject* aParent)
  : QObject(aParent)
  , store_(aStore)
  , name_(std::move(aName))
  , self_(std::move(aSelf))
  , incarnation_(QUuid::createUuid().toString(QUuid::Id128).toStdString())
  , watch_(aStore, kLivePrefix, kWatchWait, clock::Milliseconds(0), this)
{
  self_.incarnation_ = incarnation_;
  connect(&watch_, &store::PrefixWatch::Changed, this, &Membership::ReadItems);
  connect(&renewTimer_, &QTimer::timeout, this, &Membership::RenewLease);
}

void
Membership::Start()
{
  RequestLease();
  watch_.Start();
  renewTimer_.start(kRenewInterval);
}

void
Membership::RequestLease()
{
  if (left_) {
    return;
  }
  const std::int64_t sentMs = SuspendAwareMs();
  store_.GrantLease(kLeaseTerm, [this, sentMs](const store::LeaseResult& aResult) {
    if (aResult.status_ != store::Status::kSucceeded || aResult.lease_ == 0) {
      QTimer::singleShot(kRetryDelay, this, &Membership::RequestLease);
      return;
    }
    lease_ = aResult.lease_;
    leaseEndMs_ = sentMs + static_cast<std::int64_t>(aResult.term_.count()) - kLeaseMarginMs;
    lastLeaseAnswerAt_ = std::chrono::steady_clock::now();
    log::Info("membership", "event=lease-granted lease=", lease_);
    WriteHostRecord();
    Q_EMIT Changed();
  });
}

void
Membership::RenewLease()
{
  if (lease_ == 0 || left_ || renewing_) {
    return;
  }
  renewing_ = true;
  const std::int64_t sentMs = SuspendAwareMs();
  const std::int64_t lease = lease_;
  store_.RenewLease(lease, [this, sentMs, lease](const store::LeaseResult& aResult) {
    renewing_ = false;
    if (lease != lease_) {
      return;
    }
    if (aResult.status_ == store::Status::kSucceeded) {
      leaseEndMs_ = sentMs + static_cast<std::int64_t>(kLeaseTerm.count()) - kLeaseMarginMs;
      lastLeaseAnswerAt_ = std::chrono::steady_clock::now();
    } else if (aResult.status_ == store::Status::kLeaseEnded) {
      log::Warn("membership", "event=lease-lost lease=", lease_);
      lease_ = 0;
      Q_EMIT LeaseLost();
      RequestLease();
    }
  });
}

void
Membership::WriteHostRecord()
{
  store::Transaction change;
  change.puts_.push_back({ kHostPrefix + name_, jobs::Encode(self_), lease_ });
  const std::int64_t lease = lease_;
  store_.Commit(change, [this, lease](const store::CommitResult& aResult) {
    if (aResult.status_ != store::Status::kSucceeded && lease == lease_ && !left_) {
      QTimer::singleShot(kRetryDelay, this, [this, lease] {
        if (lease == lease_) {
          WriteHostRecord();
        }
      });
    }
  });
}

void
Membership::AnnounceStop(const std::map<std::string, std::size_t>& aWidths)
{
  self_.stopping_ = true;
  self_.cellWidths_ = aWidths;
  if (lease_ != 0) {
    WriteHostRecord();
  }
}

void
Membership::PublishWidths(const std::map<std::string, std::size_t>& aWidths)
{
  const clock::Moment now = clock::Now();
  if (lease_ == 0 || now - widthsPublishedAt_ < kPublishInterval ||
      !ShouldPublishWidths(self_.cellWidths_, aWidths)) {
    return;
  }
  widthsPublishedAt_ = now;
  self_.cellWidths_ = aWidths;
  WriteHostRecord();
}

void
Membership::Leave()
{
  left_ = true;
  renewTimer_.stop();
  watch_.Stop();
  if (lease_ != 0) {
    store_.RevokeLease(lease_, [](const store::LeaseResult& /*aResult*/) {});
  }
}

bool
Membership::HoldsLease() const
{
  return lease_ != 0 && !left_ && SuspendAwareMs() < leaseEndMs_;
}

clock::Milliseconds
Membership::LeaseLapse() const
{
  return clock::Milliseconds(std::max<std::int64_t>(SuspendAwareMs() - leaseEndMs_, 0));
}

bool
Membership::IsStoreReachable() const
{
  return std::chrono::steady_clock::now() - lastLeaseAnswerAt_ < kStoreTimeout;
}

void
Membership::ReadItems()
{
  hosts_.clear();
  owners_.clear();
  for (const auto& [key, item] : watch_.Items()) {
    jobs::HostRecord host;
    jobs::OwnerRecord owner;
    if (key.starts_with(kHostPrefix) && jobs::Decode(item.value_, host)) {
      hosts_[key.substr(kHostPrefix.size())] = host;
    } else if (key.starts_with(kCellPrefix) && jobs::Decode(item.value_, owner)) {
      owners_[key.substr(kCellPrefix.size())] = { owner, item.modRevision_ };
    } else {
      log::Warn("membership", "event=record-ignored key=", key);
    }
  }
  history_.Update(hosts_, clock::Now());
  RepeatAnnouncement();
  Q_EMIT Changed();
}

void
Membership::RepeatAnnouncement()
{
  const auto self = watch_.Items().find(kHostPrefix + name_);
  if (self == watch_.Items().end() || self->second.modRevision_ <= ownRecordRevision_) {
    return;
  }
  const bool isLate = ownRecordRevision_ != 0 && self_.stopping_ && !hosts_[name_].stopping_;
  ownRecordRevision_ = self->second.modRevision_;
  if (isLate && lease_ != 0 && !left_) {
    WriteHostRecord();
  }
}

std::map<std::string, jobs::HostRecord>
Membership::Hosts() const
{
  auto hosts = hosts_;
  std::erase_if(hosts, [](const auto& aEntry) { return aEntry.second.stopping_; });
  return hosts;
}

std::optional<jobs::OwnerRecord>
Membership::OwnerOf(const std::string& aCell) const
{
  const auto owner = owners_.find(aCell);
  return owner == owners_.end() ? std::nullopt : std::optional(owner->second.first);
}

std::int64_t
Membership::CellRevision(const std::string& aCell) const
{
  const auto owner = owners_.find(aCell);
  return owner == owners_.end() ? 0 : owner->second.second;
}

std::vector<std::string>
Membership::OwnCells() const
{
  std::vector<std::string> cells;
  for (const auto& [cell, owner] : owners_) {
    if (owner.first.owner_ == name_ && owner.first.incarnation_ == incarnation_) {
      cells.push_back(cell);
    }
  }
  return cells;
}

CellLoad
Membership::LoadOf(const std::string& aCell) const
{
  return LoadOfCell(aCell, history_.WidthOf(aCell));
}

OwnerCandidates
Membership::Candidates() const
{
  OwnerCandidates candidates;
  for (const auto& [name, record] : Hosts()) {
    candidates[name] = { record.processorShare_, 0, history_.UpSince(name) };
  }
  for (const auto& [cell, owner] : owners_) {
    const auto candidate = candidates.find(owner.first.owner_);
    if (candidate != candidates.end()) {
      candidate->second.load_ += LoadOf(cell).load_;
    }
  }
  return candidates;
}

} // namespace quetzal::node
