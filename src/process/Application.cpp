#include "include/quetzal/process/Application.h"

#include <QtNetwork/QNetworkProxyFactory>

namespace quetzal::process {

Application::Application(int& aCount, char** aArguments)
  : QCoreApplication(aCount, aArguments)
{
  QNetworkProxyFactory::setUseSystemConfiguration(false);
}

} // namespace quetzal::process
