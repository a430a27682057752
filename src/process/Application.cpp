#include "include/quetzal/process/Application.h"

#include "include/quetzal/event/UvDispatcher.h"

#include <QtNetwork/QNetworkProxyFactory>

namespace quetzal::process {
namespace {

/** Sets the dispatcher, which must be done before the application exists. */
int&
WithDispatcher(int& aCount)
{
  QCoreApplication::setEventDispatcher(new event::UvDispatcher);
  return aCount;
}

} // namespace

Application::Application(int& aCount, char** aArguments)
  : QCoreApplication(WithDispatcher(aCount), aArguments)
{
  QNetworkProxyFactory::setUseSystemConfiguration(false);
}

} // namespace quetzal::process
