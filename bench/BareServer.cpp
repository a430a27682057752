/** bench-bare-server: QAbstractHttpServer with a trivial handler, as a baseline for throughput. */

#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"

#include <QtCore/QCoreApplication>
#include <QtHttpServer/QAbstractHttpServer>
#include <QtHttpServer/QHttpServerRequest>
#include <QtHttpServer/QHttpServerResponder>
#include <tclap/CmdLine.h>

namespace {

class BareServer : public QAbstractHttpServer
{
protected:
  bool handleRequest(const QHttpServerRequest& aRequest, QTcpSocket* aSocket) override
  {
    makeResponder(aRequest, aSocket).write(QByteArray("hello"), "text/plain");
    return true;
  }

  void missingHandler(const QHttpServerRequest& /*aRequest*/, QTcpSocket* /*aSocket*/) override {}
};

} // namespace

int
main(int aCount, char** aArguments)
{
  const quetzal::process::Application application(aCount, aArguments);
  TCLAP::CmdLine line("Answers every request alike.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("a", "address", "IP address", true, "", "address", line);
  line.parse(aCount, aArguments);
  BareServer server;
  const quetzal::process::StopSignals signals;
  QObject::connect(
    &signals, &quetzal::process::StopSignals::StopRequested, qApp, &QCoreApplication::quit);
  if (server.listen(QHostAddress(QString::fromStdString(address.getValue())), 8000) == 0) {
    return quetzal::process::kExitFailure;
  }
  quetzal::process::AnnounceReady();
  return QCoreApplication::exec();
}
