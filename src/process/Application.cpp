#include "include/quetzal/process/Application.h"

#include "include/quetzal/event/UvDispatcher.h"

#include <QtNetwork/QNetworkProxyFactory>
#include <malloc.h>

namespace quetzal::process {
namespace {

/** Blocks from this size on are mapped one by one, so that freeing them returns their memory to the
 * system. The allocator's own threshold rises to 32 MB when large blocks are freed. */
constexpr int kMappedBlockBytes = 64 * 1024;

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
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  QNetworkProxyFactory::setUseSystemConfiguration(false);
}

} // namespace quetzal::process
