#include "include/quetzal/view/View.h"

#include "include/quetzal/document/DocumentQueries.h"

namespace quetzal::view {

bool
IsNewer(std::int64_t aOffered, std::int64_t aCurrent)
{
  return aOffered > aCurrent;
}

std::string
DocumentKey(const std::string& aEnvironment)
{
  return "/quetzal/" + aEnvironment + "/document";
}

View
MakeView(std::int64_t aRevision, const std::string& aYaml)
{
  const std::string name = "document@" + std::to_string(aRevision);
  return { aRevision, document::DigestOf(aYaml), document::MakeDocument(aYaml, name) };
}

} // namespace quetzal::view
