#include "review/standin-2/Cases.h"
#include "review/standin-2/MemoryGuard.h"
#include "review/standin-2/Ordinary.h"

#include <QtNetwork/QTcpSocket>

namespace review {
namespace {

constexpr int kMinions = 3;
constexpr Milliseconds kTrafficTime{ 60'000 };

/** A caller that sends one request after another on one connection and reads no answer. It connects
 * again if the connection has ended. */
class UnreadingCaller
{
public:
  explicit UnreadingCaller(const quetzal::settings::Endpoint& aHost)
    : host_(aHost)
  {
    for (int i = 0; i < kRequestsPerBlock; ++i) {
      block_ += "GET /alpha/00000000000000a2 HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
    }
    socket_.setReadBufferSize(1);
    QObject::connect(&socket_, &QTcpSocket::connected, [this] { Fill(); });
    QObject::connect(&socket_, &QTcpSocket::bytesWritten, [this] { Fill(); });
    QObject::connect(&retryTimer_, &QTimer::timeout, [this] { Connect(); });
    retryTimer_.start(kRetryInterval);
    Connect();
  }

private:
  static constexpr int kRequestsPerBlock = 1'000;
  static constexpr Milliseconds kRetryInterval{ 500 };

  void Connect()
  {
    if (socket_.state() == QAbstractSocket::UnconnectedState) {
      socket_.connectToHost(QHostAddress(QString::fromStdString(host_.address_)), host_.port_);
    }
  }

  void Fill()
  {
    if (socket_.bytesToWrite() < block_.size()) {
      socket_.write(block_);
    }
  }

  quetzal::settings::Endpoint host_;
  QByteArray block_;
  QTcpSocket socket_;
  QTimer retryTimer_;
};

} // namespace

Outcome
PlayUnreadAnswers(const std::string& aRecordFile)
{
  Deployment deployment(aRecordFile, kMinions);
  if (!deployment.Start()) {
    return Outcome::kNotRun;
  }
  MemoryGuard guard(deployment);
  OrdinaryCaller ordinary(deployment);
  std::vector<std::unique_ptr<UnreadingCaller>> callers;
  for (const auto& host : deployment.Hosts()) {
    if (!IsCalm()) {
      callers.push_back(std::make_unique<UnreadingCaller>(host->Callers()));
    }
  }
  const bool isFaulty =
    Deployment::RunUntil([&guard] { return guard.MachinesWithThreeEnds() >= 2; }, kTrafficTime);
  deployment.GetRecord().Write(guard.MachinesWithThreeEnds(),
                               " machines have processes that ended three times; ",
                               ordinary.Accepted(),
                               " jobs of the ordinary caller were accepted");
  return isFaulty ? Outcome::kBroken : Outcome::kHeld;
}

} // namespace review
