#include "include/quetzal/document/DocumentQueries.h"

#include <QtCore/QCryptographicHash>
#include <algorithm>
#include <set>
#include <string_view>

namespace quetzal::document {
namespace {

template<typename Item>
const Item*
FindByName(const std::vector<Item>& aItems, const std::string& aName)
{
  const auto found = std::find_if(
    aItems.begin(), aItems.end(), [&aName](const Item& aItem) { return aItem.name_ == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

bool
IsIdempotentMethod(const std::string& aMethod)
{
  return aMethod != "POST" && aMethod != "PATCH";
}

} // namespace

const Service*
FindService(const Document& aDocument, const std::string& aName)
{
  return FindByName(aDocument.services_, aName);
}

const Pool*
FindPool(const Document& aDocument, const std::string& aName)
{
  return FindByName(aDocument.pools_, aName);
}

const Host*
FindHost(const Document& aDocument, const std::string& aName)
{
  return FindByName(aDocument.hosts_, aName);
}

std::vector<const Host*>
HostsOf(const Document& aDocument, const Service& aService)
{
  std::vector<const Host*> hosts;
  const Pool* pool = FindPool(aDocument, aService.pool_);
  if (pool == nullptr) {
    return hosts;
  }
  const std::set<std::string_view> members(pool->hosts_.begin(), pool->hosts_.end());
  for (const Host& host : aDocument.hosts_) {
    if (members.contains(host.name_)) {
      hosts.push_back(&host);
    }
  }
  return hosts;
}

Route
RouteOf(const Service& aService, const std::string& aMethod, const std::string& aPath)
{
  const Route* longestMatch = nullptr;
  for (const Route& route : aService.routes_) {
    const bool isLonger =
      longestMatch == nullptr || route.prefix_.size() > longestMatch->prefix_.size();
    if (aPath.starts_with(route.prefix_) && isLonger) {
      longestMatch = &route;
    }
  }
  Route result = longestMatch != nullptr
                   ? *longestMatch
                   : Route{ "/", WorkClass::kQuick, false, aService.deadline_ };
  result.idempotent_ = result.idempotent_ || IsIdempotentMethod(aMethod);
  return result;
}

std::string
DigestOf(const std::string& aYaml)
{
  const QByteArray bytes = QByteArray::fromStdString(aYaml);
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString();
}

} // namespace quetzal::document
