#include "include/quetzal/membership/PeerBoard.h"

#include "include/quetzal/log/Log.h"
#include "include/quetzal/membership/PeerMessages.h"
#include "include/quetzal/wire/Message.h"

namespace quetzal::membership {
namespace {

constexpr clock::Milliseconds kHelloInterval{ 500 };
/** Three hellos without an answer. */
constexpr clock::Milliseconds kSilence{ 1'600 };

} // namespace

PeerBoard::PeerBoard(Peer aSelf, const std::vector<Peer>& aPeers, QObject* aParent)
  : QObject(aParent)
  , self_(std::move(aSelf))
  , hello_(wire::Pack(Hello{ self_.name_ }))
{
  for (const Peer& peer : aPeers) {
    if (peer.name_ != self_.name_) {
      AddRow(peer);
    }
  }
  connect(&helloTimer_, &QTimer::timeout, this, &PeerBoard::SayHello);
}

void
PeerBoard::AddRow(const Peer& aPeer)
{
  Row& row = rows_[aPeer.name_];
  row.peer_ = aPeer;
  row.link_ = new wire::ClientLink(aPeer.endpoint_, kSilence, this);
  const std::string name = aPeer.name_;
  connect(row.link_, &wire::ClientLink::Connected, this, [this, name] {
    rows_.at(name).link_->Send(hello_);
  });
  connect(row.link_, &wire::ClientLink::Disconnected, this, [this, name] {
    SetAlive(rows_.at(name), false);
  });
  connect(
    row.link_, &wire::ClientLink::MessageArrived, this, [this, name](const std::string& aPayload) {
      SetAlive(rows_.at(name), true);
      Q_EMIT MessageArrived(name, aPayload);
    });
}

void
PeerBoard::Start()
{
  for (auto& [name, row] : rows_) {
    row.link_->Start();
  }
  helloTimer_.start(kHelloInterval);
}

void
PeerBoard::SayHello()
{
  for (auto& [name, row] : rows_) {
    row.link_->Send(hello_);
  }
}

void
PeerBoard::SetAlive(Row& aRow, bool aAlive)
{
  if (aRow.alive_ == aAlive) {
    return;
  }
  aRow.alive_ = aAlive;
  log::Info("peers", aRow.peer_.name_, aAlive ? " is alive" : " is not heard");
  Q_EMIT LivenessChanged();
}

std::vector<std::string>
PeerBoard::LiveIn(const std::string& aZone) const
{
  std::vector<std::string> live;
  if (self_.availabilityZone_ == aZone) {
    live.push_back(self_.name_);
  }
  for (const auto& [name, row] : rows_) {
    if (row.alive_ && row.peer_.availabilityZone_ == aZone) {
      live.push_back(name);
    }
  }
  return live;
}

std::vector<std::string>
PeerBoard::Names() const
{
  std::vector<std::string> names{ self_.name_ };
  for (const auto& [name, row] : rows_) {
    names.push_back(name);
  }
  return names;
}

bool
PeerBoard::Send(const std::string& aPeer, const std::string& aPayload)
{
  const auto row = rows_.find(aPeer);
  return row != rows_.end() && row->second.link_->Send(aPayload);
}

} // namespace quetzal::membership
